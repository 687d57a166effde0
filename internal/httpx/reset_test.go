package httpx

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// dialLoopback returns both ends of a connection on loopback.
func dialLoopback(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	near, err = Dialer()(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = near.Close(), accepted.Close() })
	return near, accepted.(*net.TCPConn)
}

// reset makes the other end of a connection receive a reset.
func reset(t *testing.T, conn *net.TCPConn) {
	t.Helper()
	assert.Check(t, conn.SetLinger(0))
	assert.Check(t, conn.Close())
}

// moment is many times what loopback takes.
const moment = 10 * time.Millisecond

var (
	part   = []byte("a part")
	upload = bytes.Repeat([]byte("u"), 32<<20) // more than the socket buffers take
)

// The kernel told a write that the connection had been reset. The next read ended as after a
// whole answer.
func TestResetThatAWriteReceivedLookedLikeTheEndOfTheData(t *testing.T) {
	near, far := dialLoopback(t)
	conn := ResetAware(near)
	_, err := far.Write(part)
	assert.NilError(t, err)
	written := make(chan error)
	go func() {
		_, err := conn.Write(upload)
		written <- err
	}()
	time.Sleep(moment) // lets the write block
	reset(t, far)
	assert.Assert(t, errors.Is(<-written, syscall.ECONNRESET))
	got, err := io.ReadAll(conn)
	assert.DeepEqual(t, got, part)
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// Which of a read and a write receives the error of a reset is a matter of chance.
func TestResetBesideAWriteLookedLikeTheEndOfTheData(t *testing.T) {
	const rounds = 100
	for range rounds {
		near, far := dialLoopback(t)
		conn := ResetAware(near)
		_, err := far.Write(part)
		assert.NilError(t, err)
		written := make(chan error)
		go func() {
			_, err := conn.Write(upload)
			written <- err
		}()
		time.AfterFunc(moment, func() { reset(t, far) })
		got, err := io.ReadAll(conn)
		assert.DeepEqual(t, got, part)
		assert.Assert(t, err != nil)
		assert.Assert(t, <-written != nil)
		assert.NilError(t, conn.Close())
	}
}

// Data that the peer has ended is whole, whatever becomes of a write.
func TestEndOfDataBesideAWrite(t *testing.T) {
	for name, then := range map[string]func(far *net.TCPConn, written <-chan error){
		"peer reads nothing":  func(*net.TCPConn, <-chan error) {},
		"peer reads the rest": func(far *net.TCPConn, _ <-chan error) { go func() { _, _ = io.Copy(io.Discard, far) }() },
		"peer resets": func(far *net.TCPConn, written <-chan error) {
			assert.Check(t, far.Close()) // it has unread data
			assert.Check(t, errors.Is(<-written, syscall.EPIPE))
		},
	} {
		t.Run(name, func(t *testing.T) {
			near, far := dialLoopback(t)
			conn := ResetAware(near)
			_, err := far.Write(part)
			assert.NilError(t, err)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(upload)
				written <- err
			}()
			time.Sleep(moment) // lets the write block
			assert.NilError(t, far.CloseWrite())
			time.Sleep(moment) // lets the end of the data arrive
			then(far, written)
			assert.NilError(t, conn.SetReadDeadline(time.Now().Add(5*time.Second)))
			got, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, part)
		})
	}
}

// A part of an answer without a length was taken for the whole one when its server reset
// the connection during the upload.
func TestPollClientTookPartOfAnAnswerForTheWhole(t *testing.T) {
	const rounds = 50
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, err = http.ReadRequest(bufio.NewReader(conn))
			assert.Check(t, err)
			_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
			assert.Check(t, err)
			time.Sleep(moment)
			assert.Check(t, conn.(*net.TCPConn).SetLinger(0))
			assert.Check(t, conn.Close())
		}
	}()
	client, complete := NewPollClient(Dialer()), 0
	for range rounds {
		res, err := client.Post("http://"+l.Addr().String()+"/", "text/plain", bytes.NewReader(upload))
		if err != nil {
			continue
		}
		if _, err := io.ReadAll(res.Body); err == nil {
			complete++
		}
		assert.NilError(t, res.Body.Close())
	}
	assert.Equal(t, complete, 0, "parts that were taken for the whole, of %d", rounds)
}
