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
	sameRegion := routing.Candidate{Group: "same region", DataCentre: "kurzeme", Region: "north", NeedsLoad: true}
	far := routing.Candidate{Group: "far", DataCentre: "latgale", Region: "south", NeedsLoad: true}
	noTiebreak := func(string) uint64 { return 0 }

	rankedGroups := func(tiebreak func(string) uint64, candidates ...routing.Candidate) []string {
		var ranked []string
		for _, c := range routing.Rank(candidates, local, routing.DefaultParams(), tiebreak) {
			ranked = append(ranked, c.Group)
		}
		return ranked
	}

	// Guards against billed traffic between regions that nothing requires.
	ginkgo.It("prefers the local data centre, then the local region", func() {
		gomega.Expect(rankedGroups(noTiebreak, far, sameRegion, near)).To(gomega.Equal([]string{"near", "same region", "far"}))
	})

	// Guards against a load from the rate-limited weights store while the adapter is
	// resident in another region.
	ginkgo.It("prefers a resident copy in another region to a local load", func() {
		resident := far
		resident.Resident = true
		gomega.Expect(rankedGroups(noTiebreak, near, resident)).To(gomega.Equal([]string{"far", "near"}))
	})

	// Guards against a request that waits in a long local queue while another group is
	// idle.
	ginkgo.It("prefers a remote group when the local queue wait exceeds the cost of distance", func() {
		busy := near
		busy.QueuedWork = time.Second
		gomega.Expect(rankedGroups(noTiebreak, busy, far)).To(gomega.Equal([]string{"far", "near"}))
	})

	// Guards against front ends that load one adapter in several groups.
	ginkgo.It("breaks ties by the order that tiebreak gives for the adapter", func() {
		twin := near
		twin.Group = "twin"
		byLength := func(group string) uint64 { return uint64(len(group) - 3) }
		gomega.Expect(rankedGroups(byLength, twin, near)).To(gomega.Equal([]string{"twin", "near"}))
		gomega.Expect(rankedGroups(byLength, near, twin)).To(gomega.Equal([]string{"near", "twin"}))
	})
})
