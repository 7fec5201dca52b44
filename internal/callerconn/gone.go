package callerconn

import (
	"context"
	"net"
	"time"
)

// Watch cancels when the caller at the other end of a connection of a Listener
// goes away. It returns when ctx ends.
func Watch(ctx context.Context, conn net.Conn, period time.Duration, cancel context.CancelFunc) {
	caller, ok := conn.(*Conn)
	if !ok {
		return
	}
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if caller.Gone() {
				cancel()
				return
			}
		}
	}
}
