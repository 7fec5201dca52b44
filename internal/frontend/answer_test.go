package frontend_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
)

// Guards against answers that are incomplete, reordered or of another prompt.
func TestAnswersWholeAndStreamed(t *testing.T) {
	b := newBench(t, nil)
	for _, stream := range []bool{false, true} {
		s := b.complete("a zip", 6, stream)
		b.Expect(s.text).To(gomega.Equal(right("a zip", 6)), s.raw)
		b.Expect(s.finished).To(gomega.BeTrue())
	}
	chat := `{"model":"baltzips/quote@3","messages":[{"role":"user","content":"hem"}],"max_tokens":3,"stream":%t}`
	for _, mode := range []string{"false", "true"} {
		s := b.call("POST", "/v1/chat/completions", replaceBool(chat, mode))
		b.Expect(s.text).To(gomega.Equal(right("user: hem\n", 3)), s.raw)
	}
	b.Eventually(b.permits.outcomes).Should(gomega.HaveLen(4))
	b.Expect(b.permits.outcomes()).To(gomega.HaveEach(core.OutcomeDone))
	b.Expect(b.usage.records).To(gomega.HaveLen(4))
}

// Guards against a repeated or lost at-most-once call on the plain path.
func TestRepeatedKeyGetsFirstResponse(t *testing.T) {
	b := newBench(t, nil)
	first := b.repair("k1", "sew")
	again := b.repair("k1", "sew")
	b.Expect(first.status).To(gomega.Equal(200), first.raw)
	b.Expect(again.raw).To(gomega.Equal(first.raw))
	b.Expect(again.replayed).To(gomega.BeTrue())
	b.Expect(b.repair("k1", "other").failure).To(gomega.Equal(errs.KeyReused))
	b.Expect(b.service.Calls()).To(gomega.HaveLen(1))
	b.Expect(b.call("GET", "/v1/outcomes/repair/k1", "").raw).To(gomega.ContainSubstring(`"state":"finished"`))
	b.Expect(b.call("GET", "/v1/outcomes/repair/k2", "").raw).To(gomega.ContainSubstring(`"state":"absent"`))
}
