package groupserver

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/placer"
)

// Guards against a front end whose copy of the view differs from the owner's after any
// series of changes, also when changes it lacks are no longer kept.
func TestFrontEndsFollowTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newView()
		copied, since := map[placer.ResidentAdapter]bool{}, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "updates") {
			var resident []placer.ResidentAdapter
			width := rapid.SampledFrom([]int{5, 1500}).Draw(t, "adapters")
			base := rapid.IntRange(0, 3000).Draw(t, "first adapter")
			for i := range width {
				resident = append(resident, placer.ResidentAdapter{Target: "t", Adapter: placer.Adapter{Name: fmt.Sprint(base + i)}})
			}
			v.update(resident)
			if rapid.IntRange(0, 2).Draw(t, "sync") > 0 {
				continue
			}
			var reply grouprpc.SyncReply
			v.fillReply(since, &reply)
			if reply.Full {
				clear(copied)
			}
			for _, r := range reply.Gone {
				delete(copied, r)
			}
			for _, r := range reply.Resident {
				copied[r] = true
			}
			since = reply.Version
			gomega.NewWithT(t).Expect(copied).To(gomega.HaveLen(len(resident)))
			for _, r := range resident {
				if !copied[r] {
					t.Fatalf("%v is missing", r)
				}
			}
		}
	})
}
