package config_test

import (
	"testing"

	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
)

// Guards against a panic or an error without a code on malformed input.
func FuzzDecode(f *testing.F) {
	data, _ := document(1).EncodeYAML()
	f.Add(data)
	f.Add([]byte(`{"kinds": [{"deadline": "1s"}]}`))
	f.Add([]byte("adapters: &a\n  - <<: *a\nretention: !!int 5\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := config.Decode(data)
		if err == nil {
			err = d.Normalised().Validate()
		}
		if err != nil && !errs.Is(err, errs.InvalidConfig) {
			t.Fatal(err)
		}
	})
}
