package stack

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// host is a loopback address that one stack has to itself. The kernel assigns
// ports of 127.0.0.1 to outgoing connections and to other programs, so a port
// there could be taken while its process is stopped; on an exclusive address it
// can't.
type host struct {
	addr     netip.Addr
	listener net.Listener // on claimPort; marks the address as claimed
	lastPort *uint16      // last port assigned
}

const (
	claimPort        = 7299 // the assigned ports follow it
	maxClaimAttempts = 100
)

// claimHost claims a loopback address that no other stack uses. It fails on
// systems whose only loopback address is 127.0.0.1.
func claimHost() (host, error) {
	var err error
	for range maxClaimAttempts {
		addr := netip.AddrFrom4([4]byte{127, randomPart(), randomPart(), randomPart()})
		var l net.Listener
		if l, err = net.Listen("tcp", netip.AddrPortFrom(addr, claimPort).String()); err == nil {
			last := uint16(claimPort)
			return host{addr: addr, listener: l, lastPort: &last}, nil
		}
	}
	return host{}, errors.Wrap(err, "claim a loopback address for the stack")
}

// randomPart returns a random byte other than 0 and 255.
func randomPart() byte { return byte(1 + rand.IntN(254)) }

// address returns an "ip:port" that it has not returned before.
func (h host) address() (string, error) {
	if *h.lastPort == ^uint16(0) {
		return "", errors.New("no ports left on the loopback address")
	}
	*h.lastPort++
	return fmt.Sprintf("%s:%d", h.addr, *h.lastPort), nil
}

func (h host) release() { _ = h.listener.Close() }
