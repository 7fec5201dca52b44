package placer

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/onsi/gomega"
)

// blocks returns parts of some tokens each, numbered from first.
func blocks(first, count, tokens int) []Part {
	parts := make([]Part, count)
	for i := range parts {
		parts[i] = Part{ID: fmt.Sprintf("%08x", first+i), Tokens: tokens}
	}
	return parts
}

// Guards against a cache whose memory grows with the number of parts that prompts name, instead of with
// the tokens that the target holds: callers choose how they divide a prompt.
func TestMemoryOfAPrefixCacheIsBounded(t *testing.T) {
	const (
		limitTokens = 242_627
		maxBytes    = 512 << 10
	)
	for name, prompt := range map[string]func(i int) []Part{
		"blocks of 16 tokens": func(i int) []Part { return append(blocks(i%24<<10, 393, 16), blocks(1<<20+i<<10, 180, 16)...) },
		"parts of one token":  func(i int) []Part { return blocks(i<<12, 2000, 1) },
		"parts of no tokens":  func(i int) []Part { return blocks(i<<12, 2000, 0) },
		"large parts":         func(i int) []Part { return blocks(i<<12, 1000, 1000) },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := newPrefixCache(limitTokens)
			before := liveBytes()
			for i := range 200 {
				c.add(Adapter{"m", fmt.Sprint("a", i%24)}, prompt(i))
			}
			g.Expect(liveBytes() - before).To(gomega.BeNumerically("<=", maxBytes))
			runtime.KeepAlive(c)
		})
	}
}

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a prompt that is taken for cached although its adapter or an earlier part differs, and
// against small blocks that are never found again.
func TestCachedTokensOfAPrompt(t *testing.T) {
	g := gomega.NewWithT(t)
	a, other := Adapter{"m", "a"}, Adapter{"m", "b"}
	c := newPrefixCache(100_000)
	c.add(a, append(blocks(0, 2, 300), blocks(100, 1, 50)...))
	g.Expect(c.cachedTokens(a, blocks(0, 2, 300))).To(gomega.Equal(600))
	g.Expect(c.cachedTokens(a, blocks(0, 1, 300))).To(gomega.Equal(300))
	g.Expect(c.cachedTokens(a, blocks(1, 2, 300))).To(gomega.BeZero(), "the second part comes first")
	g.Expect(c.cachedTokens(other, blocks(0, 2, 300))).To(gomega.BeZero())
	c.add(other, append(blocks(0, 100, 16), blocks(1000, 20, 16)...))
	shared := c.cachedTokens(other, append(blocks(0, 100, 16), blocks(2000, 20, 16)...))
	g.Expect(shared).To(gomega.BeNumerically("~", 1600, minPrefixTokens))
	c.dropAdapter(other)
	g.Expect(c.cachedTokens(other, blocks(0, 100, 16))).To(gomega.BeZero())
	g.Expect(c.cachedTokens(a, blocks(0, 2, 300))).To(gomega.Equal(600))
	c.add(a, blocks(5000, 1, 100_000))
	g.Expect(c.cachedTokens(a, blocks(0, 2, 300))).To(gomega.BeZero(), "evicted")
	g.Expect(c.usedTokens).To(gomega.Equal(100_000))
}
