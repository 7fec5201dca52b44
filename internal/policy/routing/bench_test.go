package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadaslip/internal/model"
	"cicadaslip/internal/policy/routing"
)

// BenchmarkRank measures the time to rank the candidates of one request.
func BenchmarkRank(b *testing.B) {
	for _, groups := range []int{2, 6, 20, 60, 100, 300} {
		b.Run(fmt.Sprintf("candidates=%d", groups), func(b *testing.B) {
			var candidates []routing.Candidate
			for n := range groups {
				candidates = append(candidates, routing.Candidate{
					Group: fmt.Sprintf("dc-%d/base-7b/%d", n%5, n), DataCentre: fmt.Sprintf("dc-%d", n%5), Region: fmt.Sprintf("r%d", n%2),
					QueuedWork: time.Duration(n%7) * time.Millisecond, Resident: n%10 == 0, NeedsLoad: true,
				})
			}
			tiebreak := func(group string) uint64 { return xxhash.Sum64String("organisation/shop@v1\x00" + group) }
			b.ReportAllocs()
			for b.Loop() {
				_ = routing.Rank(candidates, model.VM{DataCentre: "dc-1", Region: "r1"}, routing.DefaultParams(), tiebreak)
			}
		})
	}
}
