package daemon

import (
	"context"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a drain that leaves outcomes unstored although it has time, or
// that does not end at its limit.
func TestDrainFlushesUntilEmptyOrLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	left := 3
	g.Expect(flushUntilEmpty(t.Context(), func(context.Context) int { left--; return left })).To(gomega.BeZero())
	g.Expect(left).To(gomega.BeZero())
	ctx, cancel := context.WithCancel(t.Context())
	g.Expect(flushUntilEmpty(ctx, func(context.Context) int { cancel(); return 2 })).To(gomega.Equal(2))
}
