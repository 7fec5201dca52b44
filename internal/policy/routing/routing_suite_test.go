package routing_test

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/routing"
)

func TestRouting(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "routing")
}

var _ = ginkgo.Describe("Rank", func() {
	local := model.VM{DataCentre: "riga", Region: "north"}
	near := routing.Candidate{Group: "near", DataCentre: "riga", Region: "north", NeedsLoad: true}
	same := routing.Candidate{Group: "same region", DataCentre: "kurzeme", Region: "north", NeedsLoad: true}
	far := routing.Candidate{Group: "far", DataCentre: "latgale", Region: "south", NeedsLoad: true}
	equal := func(string) uint64 { return 0 }

	names := func(tiebreak func(string) uint64, candidates ...routing.Candidate) []string {
		var ranked []string
		for _, c := range routing.Rank(candidates, local, routing.DefaultParams(), tiebreak) {
			ranked = append(ranked, c.Group)
		}
		return ranked
	}

	// Guards against billed traffic between regions without a reason.
	ginkgo.It("prefers the own data centre, then the own region", func() {
		gomega.Expect(names(equal, far, same, near)).To(gomega.Equal([]string{"near", "same region", "far"}))
	})

	// Guards against a load from the rate-limited weights store although another
	// region has the adapter.
	ginkgo.It("prefers a resident copy in another region to a local load", func() {
		resident := far
		resident.Resident = true
		gomega.Expect(names(equal, near, resident)).To(gomega.Equal([]string{"far", "near"}))
	})

	// Guards against a long local queue while another group is idle.
	ginkgo.It("leaves a queue that is longer than the cost of distance", func() {
		busy := near
		busy.QueuedWork = time.Second
		gomega.Expect(names(equal, busy, far)).To(gomega.Equal([]string{"far", "near"}))
	})

	// Guards against front ends that load one cold adapter in several groups.
	ginkgo.It("breaks ties by the adapter's own order of groups", func() {
		twin := near
		twin.Group = "twin"
		second := func(group string) uint64 { return uint64(len(group) - 3) }
		gomega.Expect(names(second, twin, near)).To(gomega.Equal([]string{"twin", "near"}))
		gomega.Expect(names(second, near, twin)).To(gomega.Equal([]string{"near", "twin"}))
	})
})
