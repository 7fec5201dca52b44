package gateway

import (
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/placer"
)

// Guards against names of adapters that owners keep although no adapter can have them, and against
// ordinary requests that are refused for theirs.
func TestNamesOfRequestedAdapters(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, a := range []placer.Adapter{{}, {Model: "m0"}, {Model: "m0", Name: "a1"}, {Model: strings.Repeat("m", 256), Name: strings.Repeat("a", 256)}} {
		g.Expect(validAdapter(a)).To(gomega.BeTrue())
	}
	for _, a := range []placer.Adapter{{Model: strings.Repeat("m", 257)}, {Model: "m0", Name: strings.Repeat("a", 257)}, {Model: "m0", Name: "a b"}, {Model: "m\x7f"}} {
		g.Expect(validAdapter(a)).To(gomega.BeFalse())
	}
}
