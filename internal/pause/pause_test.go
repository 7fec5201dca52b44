package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/pause"
)

// Guards against a pause that continues after its context has ended, and against
// one that ends before its time.
func TestForWaitsUntilDurationOrContextEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	startedAt := time.Now()
	g.Expect(pause.For(context.Background(), 5*time.Millisecond)).To(gomega.BeTrue())
	g.Expect(time.Since(startedAt)).To(gomega.BeNumerically(">=", 5*time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(pause.For(ctx, time.Hour)).To(gomega.BeFalse())
}
