package callerconn_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/callerconn"
	"cicadaslip/internal/membudget"
)

// Guards against slow callers that take all connections, and against ones that are cut off although there is
// room, although they wait for this VM, or before slower ones.
func TestSlowestCallersAreCutOffWhileConnectionsAreCrowded(t *testing.T) {
	const connections = 16
	for name, limits := range map[string]struct{ byNumber, byMemory int64 }{"by number": {connections, 2 * connections}, "by memory": {2 * connections, connections}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l := listen(t, callerconn.Limits{First: time.Minute, Idle: time.Minute, Header: time.Minute})
			bytes := limits.byMemory * membudget.ConnectionBytes
			l.Limit, l.Memory = limits.byNumber, membudget.New(membudget.Limits{Total: bytes, Connections: bytes, One: bytes, Address: bytes})
			lags := []time.Duration{5 * time.Second, time.Minute, membudget.CutAge / 2, 2 * time.Second}
			var conns []*callerconn.Conn
			for i := range connections - 1 {
				_, conn := connect(t, l)
				conn.BeginRequest()
				if i < len(lags) {
					conn.Memory.AwaitsCaller(time.Now().Add(-lags[i]))
				}
				conns = append(conns, conn)
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go l.Relieve(ctx)
			cut := func() (all []int) {
				for i, c := range conns {
					if c.CutOff() {
						all = append(all, i)
					}
				}
				return all
			}
			g.Eventually(cut).Should(gomega.Equal([]int{1}), "an eighth of 16 is free then")
			_, conn := connect(t, l)
			conn.BeginRequest()
			conns = append(conns, conn)
			g.Eventually(cut).Should(gomega.Equal([]int{0, 1}))
			g.Consistently(cut).Should(gomega.HaveLen(2))
		})
	}
}
