package frontend

import (
	"context"
	"net"
	"time"
)

// watchCaller cancels when the caller goes away. It returns when ctx ends.
func (s *Server) watchCaller(ctx context.Context, conn net.Conn, cancel context.CancelFunc) {
	caller, ok := conn.(*callerConn)
	if !ok {
		return
	}
	ticker := time.NewTicker(s.limits.GoneCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if caller.gone() {
				cancel()
				return
			}
		}
	}
}
