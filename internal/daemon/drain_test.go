package daemon

import (
	"context"
	"testing"

	"github.com/onsi/gomega"
)

// Guards against a drain that leaves outcomes unstored although its limit has not
// passed, and against a drain that continues after its limit.
func TestDrainFlushesUntilEmptyOrLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	remaining := 3
	g.Expect(flushUntilEmpty(t.Context(), func(context.Context) int { remaining--; return remaining })).To(gomega.BeZero())
	g.Expect(remaining).To(gomega.BeZero())
	ctx, cancel := context.WithCancel(t.Context())
	g.Expect(flushUntilEmpty(ctx, func(context.Context) int { cancel(); return 2 })).To(gomega.Equal(2))
}
