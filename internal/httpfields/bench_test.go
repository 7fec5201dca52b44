package httpfields_test

import (
	"strings"
	"testing"

	"cicadaslip/internal/httpfields"
)

// BenchmarkEndToEnd selects the fields of a head of 16 KiB whose Connection field names other ones in half of it.
func BenchmarkEndToEnd(b *testing.B) {
	fields, err := httpfields.Parse([]byte("Connection: " + strings.Repeat("b,", 4<<10) + "\r\n" + strings.Repeat("a:\r\n", 2<<10)))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		fields.EndToEnd(func(string) bool { return false })
	}
}
