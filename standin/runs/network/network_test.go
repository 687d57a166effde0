package network

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

const delay = 3 * time.Millisecond

// connPair returns both ends of a connection from host a to host b.
func connPair(t *testing.T, n *Network) (client, server net.Conn) {
	l, err := n.Host("b").Listen("1")
	assert.NilError(t, err)
	client, err = n.Host("a").Dial(context.Background(), "tcp", "b:1")
	assert.NilError(t, err)
	server, err = l.Accept()
	assert.NilError(t, err)
	return client, server
}

func newDelayed() *Network {
	return New(func(string, string) time.Duration { return delay })
}

func TestBytesArriveInOrderAfterTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, server := connPair(t, newDelayed())
		start := time.Now()
		client.Write([]byte("one"))
		client.Write([]byte("two"))
		client.Close()
		got, err := io.ReadAll(server)
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
				client, server := connPair(t, n)
				start := time.Now()
				f.begin(n)
				time.AfterFunc(time.Hour, func() { f.end(n) })
				client.Write([]byte("held"))
				got := make([]byte, 4)
				_, err := io.ReadFull(server, got)
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
		client, server := connPair(t, n)
		n.Cut("a", "b")
		server.Write([]byte("back"))
		got := make([]byte, 4)
		_, err := io.ReadFull(client, got)
		assert.NilError(t, err)
	})
}

func TestKillResetsAndRefusesUntilANewHostListens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newDelayed()
		client, _ := connPair(t, n)
		n.Host("b").Kill()
		_, err := client.Read(make([]byte, 1))
		assert.ErrorIs(t, err, ErrReset)
		_, err = n.Host("a").Dial(t.Context(), "tcp", "b:1")
		assert.ErrorIs(t, err, ErrRefused)
		connPair(t, n)
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

func TestDeadlineMovedDuringRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client, _ := connPair(t, newDelayed())
		start := time.Now()
		client.SetReadDeadline(start.Add(time.Second))
		time.AfterFunc(time.Millisecond, func() { client.SetReadDeadline(start.Add(2 * time.Second)) })
		_, err := client.Read(make([]byte, 1))
		assert.Assert(t, err.(net.Error).Timeout())
		assert.Equal(t, time.Since(start), 2*time.Second)
	})
}

func TestLinkRateLimitsTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, rate = 500 << 10, 1 << 20
		n := New(func(_, _ string) time.Duration { return time.Millisecond })
		n.SetLinkRate("10.0.0.2", rate)
		l, err := n.Host("10.0.0.1").Listen("80")
		assert.NilError(t, err)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go func() {
					_, _ = c.Write(make([]byte, size))
					_ = c.Close()
				}()
			}
		}()
		began := time.Now()
		var transfers sync.WaitGroup
		for range 2 { // they share the link
			transfers.Go(func() {
				c, err := n.Host("10.0.0.2").Dial(t.Context(), "tcp", "10.0.0.1:80")
				assert.Check(t, err)
				received, err := io.Copy(io.Discard, c)
				assert.Check(t, err)
				assert.Check(t, received == size)
				_ = c.Close()
			})
		}
		transfers.Wait()
		took := time.Since(began).Seconds()
		assert.Assert(t, took > 0.95 && took < 1.1, "two transfers of half a second took %.2f s", took)
		assert.NilError(t, l.Close())
	})
}
