package groupserver

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"
)

// 12 large and 67 small VMs compete for a group. A small one must not win, because its
// processor time does not suffice for the requests of a group; nor may a VM that owns a
// group win against a free one of its size.
func TestLargeVMsTakeOverFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	for shard := range 20 {
		group := GroupName("llm", shard)
		winner, best := 0.0, 2.0
		for i := range 79 {
			cores := 0.192
			if i < 12 {
				cores = 0.8
			}
			m := &Manager{opt: Options{VM: fmt.Sprint("vm", i), Cores: cores}}
			if jitter := m.jitter(group, false); jitter < best {
				best, winner = jitter, cores
			}
			g.Expect(m.jitter(group, true)).To(gomega.BeNumerically(">", 0.3))
		}
		g.Expect(winner).To(gomega.Equal(0.8), group)
	}
}
