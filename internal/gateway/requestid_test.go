package gateway

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against IDs of callers that other VMs remember at any length, and against ordinary ones that change.
func TestLongIDsAreShortened(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(shortID("9c41d07be2a35f68")).To(gomega.Equal("9c41d07be2a35f68"))
	long := strings.Repeat("i", 16<<10)
	g.Expect(len(shortID(long))).To(gomega.BeNumerically("<=", maxIDBytes))
	g.Expect(shortID(long)).To(gomega.Equal(shortID(strings.Clone(long))))
	g.Expect(shortID(long)).NotTo(gomega.Equal(shortID(long + "i")))
	g.Expect(shortID(long)).To(gomega.HavePrefix("iiii"))
}
