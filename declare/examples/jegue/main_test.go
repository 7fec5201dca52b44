package main

import (
	"bytes"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/config"
)

// Guards against an example that fails validation or that deviates from the sizes
// and at-most-once kinds of the design page.
func TestExampleMatchesDesign(t *testing.T) {
	g := gomega.NewWithT(t)
	var output bytes.Buffer
	g.Expect(deployment().Write(&output)).To(gomega.Succeed())
	document, err := config.Decode(output.Bytes())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(document.Adapters).To(gomega.HaveLen(3000))
	g.Expect(document.BaseModels).To(gomega.HaveLen(1))
	g.Expect(document.LoadRate).To(gomega.BeEquivalentTo(4))
	var atMostOnceKinds []string
	for _, k := range document.Kinds {
		if k.AtMostOnce {
			atMostOnceKinds = append(atMostOnceKinds, k.Key())
		}
	}
	g.Expect(atMostOnceKinds).To(gomega.ConsistOf("sertao/token-payment", "sertao/ride-booking", "litoral/token-payment", "litoral/ride-booking", "agreste/token-payment", "agreste/ride-booking"))
}
