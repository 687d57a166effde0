package httpx

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ResetAware returns a connection whose Read fails after the connection was reset or lost,
// also where a Write received that error. The kernel reports the error of a socket once:
// reads after that return io.EOF, as at the end of an answer that ends with its connection.
// Connections that are not sockets are returned unchanged.
func ResetAware(conn net.Conn) net.Conn {
	if socket, ok := conn.(syscall.Conn); ok {
		return &resetAwareConn{Conn: conn, socket: socket}
	}
	return conn
}

type resetAwareConn struct {
	net.Conn
	socket  syscall.Conn
	writing sync.Mutex // held during writes; guards failed
	failed  error      // the error of the socket, if a write received it
}

// Write implements net.Conn.
func (c *resetAwareConn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	var errno syscall.Errno
	// EPIPE means that the peer ended its data before it reset the connection, or that
	// the error has been reported before.
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failed = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetAwareConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && n == 0 {
		return 0, c.endOfData()
	}
	return n, err
}

// endOfData returns io.EOF if the peer ended its data, and else the error of the socket.
func (c *resetAwareConn) endOfData() error {
	if !c.writing.TryLock() {
		if !isHungUp(c.socket) {
			return io.EOF // the write may block for as long as the peer reads nothing
		}
		c.writing.Lock() // the write fails at once
	}
	defer c.writing.Unlock()
	if c.failed != nil {
		return c.failed
	}
	return io.EOF
}

// isHungUp reports whether a socket can neither send nor receive any more. A peer that ended
// only its own data leaves it able to send.
func isHungUp(socket syscall.Conn) bool {
	hungUp := true // if it has been closed
	raw, err := socket.SyscallConn()
	if err != nil {
		return hungUp
	}
	_ = raw.Control(func(fd uintptr) { // fails if it has been closed
		state := []unix.PollFd{{Fd: int32(fd)}}
		for {
			_, err := unix.Poll(state, 0)
			if err != unix.EINTR {
				hungUp = err != nil || state[0].Revents&unix.POLLHUP != 0
				return
			}
		}
	})
	return hungUp
}
