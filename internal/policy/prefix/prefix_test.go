package prefix_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/prefix"
)

// Guards against an index that grows without bound, and against matches that
// continue after a block that is not cached.
func TestIndexIsBoundedAndMatchesFromTheStart(t *testing.T) {
	g := gomega.NewWithT(t)
	x := &prefix.Index{}
	x.RecordPrefixes(0, []uint64{1, 2, 3})
	g.Expect(x.Benefit(0, []uint64{1, 2, 3, 4})).To(gomega.Equal(0.375))
	g.Expect(x.Benefit(0, []uint64{9, 2, 3, 4})).To(gomega.BeZero())
	g.Expect(x.Benefit(1, []uint64{1, 2})).To(gomega.BeZero())
	for hash := range uint64(5000) {
		x.RecordPrefixes(0, []uint64{100 + hash})
	}
	g.Expect(x.Benefit(0, []uint64{1, 2, 3})).To(gomega.BeZero())
}
