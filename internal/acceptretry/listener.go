package acceptretry

import (
	"errors"
	"net"
	"syscall"
	"time"
)

// delay is the time until a listener tries again.
const delay = 50 * time.Millisecond

// Listener accepts connections. It tries again when the process or the system lacks file
// descriptors or memory for one more.
type Listener struct {
	net.Listener
	failed func(err error)
}

// New returns a listener that accepts the connections of l and calls failed with each failure
// after which it tries again.
func New(l net.Listener, failed func(err error)) *Listener {
	return &Listener{Listener: l, failed: failed}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !lacksResources(err) {
			return conn, err
		}
		l.failed(err)
		time.Sleep(delay)
	}
}

func lacksResources(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
