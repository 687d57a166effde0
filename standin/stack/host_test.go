package stack

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Stacks run concurrently on one machine, and their processes open connections
// from ports that the kernel assigns. Neither may use an address that has been
// assigned to a stack.
func TestAddressesAreUniqueToTheStack(t *testing.T) {
	const stacks, each = 8, 100
	assigned := make(map[string]bool)
	for range stacks {
		h, err := claimHost()
		assert.NilError(t, err)
		defer h.release()
		for range each {
			a, err := h.address()
			assert.NilError(t, err)
			assert.Assert(t, !assigned[a], "%s was assigned twice", a)
			assigned[a] = true
		}
	}
}

// An address stays free while its process is not running, also if another
// process listens on the same port of 127.0.0.1.
func TestAddressesStayFreeOfOtherProcesses(t *testing.T) {
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
