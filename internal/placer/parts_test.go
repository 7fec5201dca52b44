package placer

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// Guards against a prompt of many parts that costs each VM which handles it a multiple of its bytes, and
// against prompts that share their first parts and are not recognised as such.
func TestJoinedPartsAreFewAndKeepPrefixes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		shared := blocks(0, rapid.IntRange(0, 16<<10).Draw(t, "shared"), 16)
		of := func(own int) []Part {
			return append(shared[:len(shared):len(shared)], blocks(1<<20*own, rapid.IntRange(1, 500).Draw(t, "own"), 16)...)
		}
		one, other := of(1), of(2)
		joined, joinedOther := JoinParts(one), JoinParts(other)
		g.Expect(len(joined)).To(gomega.BeNumerically("<", maxParts))
		g.Expect(tokensOf(joined)).To(gomega.Equal(tokensOf(one)))
		g.Expect(joined[len(joined)-1]).To(gomega.Equal(one[len(one)-1]), "the last part belongs to the request")
		common := 0
		for i := 0; i < min(len(joined), len(joinedOther)) && joined[i] == joinedOther[i]; i++ {
			common += joined[i].Tokens
		}
		g.Expect(common).To(gomega.BeNumerically(">=", tokensOf(shared)*7/8-16))
		g.Expect(common).To(gomega.BeNumerically("<=", tokensOf(shared)))
	})
}

func tokensOf(parts []Part) int {
	all := 0
	for _, p := range parts {
		all += p.Tokens
	}
	return all
}

// Guards against ordinary prompts whose parts change, and against long IDs that are kept or taken for
// each other.
func TestIDsOfJoinedParts(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(JoinParts(nil)).To(gomega.BeEmpty())
	ordinary := blocks(0, singleParts+1, 300)
	g.Expect(JoinParts(ordinary)).To(gomega.Equal(ordinary))
	long := strings.Repeat("a", 16<<10)
	joined := JoinParts([]Part{{long, 1}, {long + "b", 2}, {long, 3}, {"own", 4}})
	for _, p := range joined {
		g.Expect(len(p.ID)).To(gomega.BeNumerically("<=", maxPartIDBytes))
	}
	g.Expect(joined[0].ID).To(gomega.Equal(joined[2].ID))
	g.Expect(joined[0].ID).NotTo(gomega.Equal(joined[1].ID))
	g.Expect(fmt.Sprint(joined[1].Tokens, joined[3])).To(gomega.Equal("2 {own 4}"))
}
