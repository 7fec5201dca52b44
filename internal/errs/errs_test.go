package errs_test

import (
	"io"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
)

// Guards against an untyped error that reaches a caller without a code.
func TestAsAddsACodeToUntypedErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(errs.As(io.EOF).Code).To(gomega.Equal(errs.Internal))
	g.Expect(errs.As(io.EOF)).To(gomega.MatchError(io.EOF))
	g.Expect(errs.As(errs.NotRun(errs.Overloaded, "queue is full")).Ran).To(gomega.Equal(errs.RanNo))
	g.Expect(errs.HTTPStatus(errs.Overloaded)).To(gomega.Equal(429))
}
