package groupclient

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// grantingOwner grants its target at once and keeps the pauses that it is told.
type grantingOwner struct {
	*busyOwner
	pauses chan []advisory.Pause
}

func (o *grantingOwner) Acquire(_ context.Context, request grouprpc.AcquireRequest) grouprpc.AcquireReply {
	o.pauses <- request.Pauses
	return grouprpc.AcquireReply{Grant: placer.Grant{Request: request.Request.ID, Target: "t"}}
}

// Guards against an owner that grants the same target again and again, because it is not told
// which targets pause for this VM: with each request, since the owner may be a new one.
func TestEachRequestTellsTheOwnerOfPauses(t *testing.T) {
	g := gomega.NewWithT(t)
	vm2 := &grantingOwner{&busyOwner{epoch: 1}, make(chan []advisory.Pause, 8)}
	c, _ := newClient(t, map[string]owner{"vm2": vm2})
	paused := []advisory.Pause{{Target: "t", Born: 7, Left: time.Second}}
	c.opt.Pauses = func() []advisory.Pause { return paused }
	for range 2 {
		g.Expect((<-c.acquire(30 * time.Second)).failure).To(gomega.BeNil())
		g.Expect(<-vm2.pauses).To(gomega.Equal(paused))
	}
}
