package delivery

import (
	"net"
	"time"

	"golang.org/x/sys/unix"

	"cicadaslip/internal/errs"
)

// resetLingerSeconds makes the end of a connection discard what has not arrived.
const resetLingerSeconds = 0

// Bound makes the operating system discard the bytes that the peer has not received as soon as
// the connection is closed, by the process or by its end, and once they have not been
// acknowledged for a time. The latter holds while the process is stopped. The peer sees a reset
// in place of an ordinary end. Bound fails with errs.Internal if the system refuses the
// options.
func Bound(c *net.TCPConn, unacknowledged time.Duration) error {
	if err := c.SetLinger(resetLingerSeconds); err != nil {
		return errs.Wrap(err, errs.Internal, "make a connection reset when it is closed")
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return errs.Wrap(err, errs.Internal, "limit the time for which a connection may send again")
	}
	var refused error
	if err := raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	}); err != nil {
		refused = err
	}
	if refused != nil {
		return errs.Wrap(refused, errs.Internal, "limit the time for which a connection may send again")
	}
	return nil
}
