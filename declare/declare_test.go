package declare_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/declare"
	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
)

// Guards against a declared value that is missing from the document.
func TestWriteEncodesAllDeclaredValues(t *testing.T) {
	g := gomega.NewWithT(t)
	d := declare.New("base").LoadRate(2).Retention(time.Hour).JournalShards(4).GroupsPerPool(9)
	o := d.Organisation("counter", declare.HashToken("secret")).Share(3)
	o.Adapter("coats", "base", "v1", "v2")
	o.Kind("booking").Service("booking-stock").AtMostOnce().Worth(10).Within(5 * time.Second)
	var out bytes.Buffer
	g.Expect(d.Write(&out)).To(gomega.Succeed())
	document, err := config.Decode(out.Bytes())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(document).To(gomega.Equal(&config.Document{
		BaseModels: []string{"base"}, LoadRate: 2, JournalShards: 4, GroupsPerPool: 9, Retention: config.Duration(time.Hour),
		Organisations: []config.Organisation{{Name: "counter", CredentialSHA256: declare.HashToken("secret"), Share: 3}},
		Adapters:      []config.Adapter{{Organisation: "counter", Name: "coats", BaseModel: "base", Versions: []string{"v1", "v2"}}},
		Kinds: []config.Kind{{
			Organisation: "counter", Name: "booking", Application: "booking-stock",
			AtMostOnce: true, Worth: 10, Deadline: config.Duration(5 * time.Second),
		}},
	}))
}

// Guards against an invalid declaration for which Write writes a document or reports
// only some of the faults.
func TestInvalidDeclarationWritesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	d := declare.New("base")
	d.Organisation("counter", "not a hash").Adapter("coats", "other", "v1")
	var out bytes.Buffer
	err := d.Write(&out)
	g.Expect(errs.Is(err, errs.InvalidConfig)).To(gomega.BeTrue())
	g.Expect(errs.As(err).Details).To(gomega.HaveLen(2))
	g.Expect(out.Len()).To(gomega.BeZero())
}
