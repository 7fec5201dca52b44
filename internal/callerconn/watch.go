package callerconn

import (
	"context"
	"net"
	"time"
)

// Watch calls cancel when the caller of a connection accepted by a Listener
// disconnects. It checks once per period and returns when the caller has
// disconnected or ctx ends. For connections of other types it returns
// immediately.
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
			if caller.Disconnected() {
				cancel()
				return
			}
		}
	}
}
