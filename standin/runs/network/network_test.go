package network

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const delay = 3 * time.Millisecond

// pair returns both ends of a connection from a to b.
func pair(t *testing.T, n *Network) (near, far net.Conn) {
	l, err := n.Host("b").Listen("1")
	assert.NilError(t, err)
	near, err = n.Host("a").Dial(context.Background(), "tcp", "b:1")
	assert.NilError(t, err)
	far, err = l.Accept()
	assert.NilError(t, err)
	return near, far
}

func newDelayed() *Network {
	return New(func(string, string) time.Duration { return delay })
}

func TestBytesArriveAfterTheDelayInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := pair(t, newDelayed())
		start := time.Now()
		near.Write([]byte("one"))
		near.Write([]byte("two"))
		near.Close()
		got, err := io.ReadAll(far)
		assert.NilError(t, err)
		assert.Equal(t, string(got), "onetwo")
		assert.Equal(t, time.Since(start), delay)
	})
}

func TestFaultsHoldBytesAndReleaseThem(t *testing.T) {
	faults := map[string]struct{ begin, end func(*Network) }{
		"cut towards":   {func(n *Network) { n.Cut("a", "b") }, func(n *Network) { n.Heal("a", "b") }},
		"freeze sender": {func(n *Network) { n.Freeze("a") }, func(n *Network) { n.Thaw("a") }},
		"freeze reader": {func(n *Network) { n.Freeze("b") }, func(n *Network) { n.Thaw("b") }},
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newDelayed()
				near, far := pair(t, n)
				start := time.Now()
				f.begin(n)
				time.AfterFunc(time.Hour, func() { f.end(n) })
				near.Write([]byte("held"))
				got := make([]byte, 4)
				_, err := io.ReadFull(far, got)
				assert.NilError(t, err)
				assert.Equal(t, string(got), "held")
				assert.Equal(t, time.Since(start), time.Hour)
			})
		})
	}
}

func TestOneWayCutLetsTheOtherWayPass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newDelayed()
		near, far := pair(t, n)
		n.Cut("a", "b")
		far.Write([]byte("back"))
		got := make([]byte, 4)
		_, err := io.ReadFull(near, got)
		assert.NilError(t, err)
	})
}

func TestKillResetsAndRefusesUntilANewHostListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newDelayed()
		near, _ := pair(t, n)
		n.Host("b").Kill()
		_, err := near.Read(make([]byte, 1))
		assert.ErrorIs(t, err, ErrReset)
		_, err = n.Host("a").Dial(t.Context(), "tcp", "b:1")
		assert.ErrorIs(t, err, ErrRefused)
		pair(t, n)
	})
}

func TestDialOverACutWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newDelayed()
		_, err := n.Host("b").Listen("1")
		assert.NilError(t, err)
		n.Cut("b", "a")
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err = n.Host("a").Dial(ctx, "tcp", "b:1")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

func TestDeadlinesCanBeMovedWhileWaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, _ := pair(t, newDelayed())
		start := time.Now()
		near.SetReadDeadline(start.Add(time.Second))
		time.AfterFunc(time.Millisecond, func() { near.SetReadDeadline(start.Add(2 * time.Second)) })
		_, err := near.Read(make([]byte, 1))
		assert.Assert(t, err.(net.Error).Timeout())
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}
