package stack

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Stacks of one machine run at the same time, and their processes open
// connections from ports that the machine picks: neither may get an address
// that a stack has handed out.
func TestAddressesAreTheStacksOwn(t *testing.T) {
	const stacks, each = 8, 100
	given := make(map[string]bool)
	for range stacks {
		h, err := claimHost()
		assert.NilError(t, err)
		defer h.release()
		for range each {
			a, err := h.address()
			assert.NilError(t, err)
			assert.Assert(t, !given[a], "%s was handed out twice", a)
			given[a] = true
		}
	}
}

// An address stays free while its process is not running, whatever other
// processes listen on.
func TestAddressesAreNotTheMachinesToPick(t *testing.T) {
	h, err := claimHost()
	assert.NilError(t, err)
	defer h.release()
	a, err := h.address()
	assert.NilError(t, err)
	host, port, err := net.SplitHostPort(a)
	assert.NilError(t, err)
	assert.Assert(t, host != "127.0.0.1" && net.ParseIP(host).IsLoopback(), host)
	other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	assert.NilError(t, err)
	defer other.Close()
	own, err := net.Listen("tcp", a)
	assert.NilError(t, err)
	assert.NilError(t, own.Close())
}
