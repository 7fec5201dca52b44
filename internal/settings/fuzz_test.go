package settings_test

import (
	"testing"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/settings"
)

// Guards against a panic or an error without a code on malformed input.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("vm: &a {name: *a}\n"))
	f.Add([]byte("? [x]\n: y\n"))
	f.Add([]byte("<<: {vm: 1}\nlog: !!str |\n  x\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := settings.Parse("d.yaml", data); err != nil && !errs.Is(err, errs.InvalidSettings) {
			t.Fatal(err)
		}
	})
}
