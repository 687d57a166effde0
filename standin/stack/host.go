package stack

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// host is a loopback address of one stack's own. The machine picks ports for
// outgoing connections and for other programs on 127.0.0.1, so no port of an
// own address is taken while its process is not running.
type host struct {
	addr netip.Addr
	held net.Listener // at claimPort for as long as the host is claimed
	last *uint16      // port handed out last
}

const (
	claimPort = 7299 // the other ports follow it
	hostTries = 100
)

// claimHost takes a loopback address that no other stack holds. Systems that
// have no loopback address but 127.0.0.1 fail it.
func claimHost() (host, error) {
	var err error
	for range hostTries {
		addr := netip.AddrFrom4([4]byte{127, randomPart(), randomPart(), randomPart()})
		var l net.Listener
		if l, err = net.Listen("tcp", netip.AddrPortFrom(addr, claimPort).String()); err == nil {
			last := uint16(claimPort)
			return host{addr: addr, held: l, last: &last}, nil
		}
	}
	return host{}, errors.Wrap(err, "claim a loopback address of the stack's own")
}

// randomPart returns a byte that is neither the first nor the last.
func randomPart() byte { return byte(1 + rand.IntN(254)) }

// address returns an "ip:port" that was not handed out before.
func (h host) address() (string, error) {
	if *h.last == ^uint16(0) {
		return "", errors.New("no port left")
	}
	*h.last++
	return fmt.Sprintf("%s:%d", h.addr, *h.last), nil
}

func (h host) release() { _ = h.held.Close() }
