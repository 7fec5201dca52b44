package main

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/config"
)

// Guards against an example that is refused or that leaves the sizes and
// at-most-once kinds of the design page.
func TestExampleHasTheDesignedSizes(t *testing.T) {
	g := gomega.NewWithT(t)
	var out bytes.Buffer
	g.Expect(deployment().Write(&out)).To(gomega.Succeed())
	d, err := config.Decode(out.Bytes())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.Adapters).To(gomega.HaveLen(3000))
	g.Expect(d.BaseModels).To(gomega.HaveLen(1))
	g.Expect(d.LoadRate).To(gomega.BeEquivalentTo(4))
	var once []string
	for _, k := range d.Kinds {
		if k.AtMostOnce {
			once = append(once, k.Key())
		}
	}
	g.Expect(once).To(gomega.ConsistOf("sertao/token-payment", "sertao/ride-booking", "litoral/token-payment", "litoral/ride-booking", "agreste/token-payment", "agreste/ride-booking"))
}
