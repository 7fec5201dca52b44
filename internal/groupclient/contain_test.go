package groupclient

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
)

type container struct{ places []string }

func (c *container) contain(place string, _ *error) {
	if recover() != nil {
		c.places = append(c.places, place)
	}
}

// Guards against a reply of an owner that ends the process: it is applied in a goroutine of its own.
func TestPanicInAReplyIsContained(t *testing.T) {
	g := gomega.NewWithT(t)
	var contained container
	c := New(Options{
		VM: "vm1", HandlePeerRevisions: func(map[string]objectstore.Position) {}, MergeLeaving: func(advisory.Delta) {}, Quarantine: noQuarantine{},
		HandleReply: func(string, string, *grouprpc.SyncReply) { panic("odd reply") }, Contain: contained.contain,
	})
	c.applyReply("s.0", 0, "vm2", "vm2", &grouprpc.SyncReply{})
	g.Expect(contained.places).To(gomega.Equal([]string{"sync_reply"}))
}
