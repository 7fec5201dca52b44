package frontend_test

import (
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
)

// Guards against answers that are incomplete, reordered or belong to another prompt.
func TestFullAndStreamedAnswers(t *testing.T) {
	f := newFixture(t, nil)
	for _, stream := range []bool{false, true} {
		response := f.postCompletion("a zip", 6, stream)
		f.Expect(response.text).To(gomega.Equal(expectedAnswer("a zip", 6)), response.raw)
		f.Expect(response.finished).To(gomega.BeTrue())
	}
	chat := `{"model":"baltzips/quote@3","messages":[{"role":"user","content":"hem"}],"max_tokens":3,"stream":%t}`
	for _, mode := range []string{"false", "true"} {
		response := f.sendRequest("POST", "/v1/chat/completions", replaceBool(chat, mode))
		f.Expect(response.text).To(gomega.Equal(expectedAnswer("user: hem\n", 3)), response.raw)
	}
	f.Eventually(f.permits.outcomes).Should(gomega.HaveLen(4))
	f.Expect(f.permits.outcomes()).To(gomega.HaveEach(core.OutcomeDone))
	f.Expect(f.usage.records).To(gomega.HaveLen(4))
}

// Guards against an at-most-once call that is repeated or lost although nothing
// fails.
func TestRepeatedKeyGetsFirstResponse(t *testing.T) {
	f := newFixture(t, nil)
	first := f.callRepair("k1", "sew")
	again := f.callRepair("k1", "sew")
	f.Expect(first.status).To(gomega.Equal(200), first.raw)
	f.Expect(again.raw).To(gomega.Equal(first.raw))
	f.Expect(again.replayed).To(gomega.BeTrue())
	f.Expect(f.callRepair("k1", "other").failure).To(gomega.Equal(errs.KeyReused))
	f.Expect(f.service.Calls()).To(gomega.HaveLen(1))
	f.Expect(f.sendRequest("GET", "/v1/outcomes/repair/k1", "").raw).To(gomega.ContainSubstring(`"state":"finished"`))
	f.Expect(f.sendRequest("GET", "/v1/outcomes/repair/k2", "").raw).To(gomega.ContainSubstring(`"state":"absent"`))
}
