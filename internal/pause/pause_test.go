package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/pause"
)

// Guards against a wait that outlives its context, and one that does not wait.
func TestAPauseEndsWithItsTimeOrItsContext(t *testing.T) {
	g := gomega.NewWithT(t)
	began := time.Now()
	g.Expect(pause.For(context.Background(), 5*time.Millisecond)).To(gomega.BeTrue())
	g.Expect(time.Since(began)).To(gomega.BeNumerically(">=", 5*time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(pause.For(ctx, time.Hour)).To(gomega.BeFalse())
}
