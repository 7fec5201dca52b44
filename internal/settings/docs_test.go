package settings_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/settings"
)

const docsPath = "../../docs/settings.md"

// Guards against a settings page that disagrees with the code, and against a
// setting without a doc comment. With UPDATE_DOCS=1 the test rewrites the
// tables of the page instead of comparing them.
func TestDocsMatchSettings(t *testing.T) {
	g := gomega.NewWithT(t)
	page, err := os.ReadFile(docsPath)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	introduction, _, found := strings.Cut(string(page), "\n## ")
	g.Expect(found).To(gomega.BeTrue())
	want := introduction + settingsTables(g)
	if os.Getenv("UPDATE_DOCS") != "" {
		g.Expect(os.WriteFile(docsPath, []byte(want), 0o644)).To(gomega.Succeed())
		return
	}
	g.Expect(string(page)).To(gomega.Equal(want))
}

// settingsTables returns one Markdown table per section. The meaning of a
// setting is the doc comment of its field.
func settingsTables(g *gomega.WithT) string {
	comments := fieldComments(g)
	var out strings.Builder
	for section := range reflect.TypeFor[settings.Settings]().Fields() {
		fmt.Fprintf(&out, "\n## %s\n\n| Key | Unit | Default | Allowed | Meaning |\n|---|---|---|---|---|\n", section.Tag.Get("yaml"))
		for f := range section.Type.Fields() {
			comment := comments[section.Type.Name()+"."+f.Name]
			g.Expect(comment).NotTo(gomega.BeEmpty(), f.Name)
			fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s |\n",
				f.Tag.Get("yaml"), unit(f), defaultOf(f), allowed(f), comment)
		}
	}
	return out.String()
}

func unit(f reflect.StructField) string {
	switch f.Type.String() {
	case "time.Duration":
		return "ns, us, ms, s, m, h"
	case "settings.Bytes":
		return "B, KiB, MiB, GiB"
	case "int":
		return "count"
	}
	return "text"
}

func defaultOf(f reflect.StructField) string {
	if f.Tag.Get("required") == "true" {
		return "required"
	}
	if f.Tag.Get("default") == "" {
		return "none"
	}
	return "`" + f.Tag.Get("default") + "`"
}

func allowed(f reflect.StructField) string {
	if f.Tag.Get("min") != "" {
		return f.Tag.Get("min") + " to " + f.Tag.Get("max")
	}
	if f.Tag.Get("allowed") != "" {
		return strings.ReplaceAll(f.Tag.Get("allowed"), ",", ", ")
	}
	return map[string]string{"address": "ip:port", "name": "a-z, 0-9, -, _, .", "path": "file"}[f.Tag.Get("format")]
}

// fieldComments returns the doc comments of the fields in settings.go by
// "Type.Field".
func fieldComments(g *gomega.WithT) map[string]string {
	file, err := parser.ParseFile(token.NewFileSet(), "settings.go", nil, parser.ParseComments)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	comments := map[string]string{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.TypeSpec)
		if !ok {
			return true
		}
		for _, f := range spec.Type.(*ast.StructType).Fields.List {
			comments[spec.Name.Name+"."+f.Names[0].Name] = strings.Join(strings.Fields(f.Doc.Text()), " ")
		}
		return false
	})
	return comments
}
