// Package socketstate looks at a connection without reading from it.
package socketstate

import (
	"net"
	"syscall"
)

// State is what a read from a connection would find.
type State int

// The states.
const (
	Idle     State = iota // nothing to read, or the connection is not a socket
	Readable              // bytes are waiting
	Closed                // the peer has closed its sending side, or the connection has failed
)

// Of returns the state of a connection.
func Of(c net.Conn) State {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return Idle
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}

// Await waits until a read from the connection would not wait, or its read deadline ends. It
// returns at once if the connection is not a socket.
func Await(c net.Conn) error {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return err != syscall.EAGAIN && err != syscall.EINTR
	})
}
