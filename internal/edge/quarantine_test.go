package edge

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/quarantine"
)

// Guards against one odd part in the stored object that hides the other quarantined parts from a
// VM that starts.
func TestOddQuarantinedPartsHideNoOther(t *testing.T) {
	const sound = `{"Part":{"Service":"s","ID":"p%d"},"Since":%d}`
	want := []quarantine.Quarantined{{Part: quarantine.Part{Service: "s", ID: "p1"}, Since: 1}, {Part: quarantine.Part{Service: "s", ID: "p2"}, Since: 2}}
	for _, odd := range []string{
		"null", "7", "[]", `"p"`, "{}", `{"Part":{"Service":"s","ID":7}}`, `{"Part":{"Service":"","ID":"p"}}`, `{"Part":{"Service":"s","ID":"p"},"Since":1e400}`,
		`{"Part":{"Service":"s","ID":"p"},"Since":"1"}`, `{"Part":{"Service":"s","ID":"a\u0000"},"Since":1}`,
	} {
		g := gomega.NewWithT(t)
		ignored := 0
		parts := decodeQuarantine([]byte(`{"parts":[`+fmt.Sprintf(sound, 1, 1)+","+odd+","+fmt.Sprintf(sound, 2, 2)+`]}`), func(error) { ignored++ })
		g.Expect(parts).To(gomega.Equal(want), odd)
		g.Expect(ignored).To(gomega.Equal(1), odd)
	}
	for _, odd := range []string{"", "7", `{"parts":7}`, `{"parts":"p"}`} {
		g := gomega.NewWithT(t)
		ignored := 0
		g.Expect(decodeQuarantine([]byte(odd), func(error) { ignored++ })).To(gomega.BeEmpty())
		g.Expect(ignored).To(gomega.Equal(1), odd)
	}
}
