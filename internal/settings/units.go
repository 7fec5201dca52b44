package settings

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Bytes is a size in bytes. Its text form has a unit: "512B", "64KiB", "1MiB"
// or "2GiB".
type Bytes int64

var byteUnits = []struct {
	suffix string
	size   int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

const (
	durationSyntax = "a duration with unit ns, us, ms, s, m or h, such as 250ms"
	bytesSyntax    = "a size with unit B, KiB, MiB or GiB, such as 64KiB"
	countSyntax    = "a whole number without unit"
)

// parseBytes parses a size with a unit. It reports false if text is not a size
// or does not fit an int64.
func parseBytes(text string) (Bytes, bool) {
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		number, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || number < 0 || number > math.MaxInt64/unit.size {
			return 0, false
		}
		return Bytes(number * unit.size), true
	}
	return 0, false
}

// parseDuration parses a duration that is not negative. Unlike
// time.ParseDuration, it rejects a zero without a unit.
func parseDuration(text string) (time.Duration, bool) {
	if text == "" || text[len(text)-1] >= '0' && text[len(text)-1] <= '9' {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	return d, err == nil && d >= 0
}

// String returns the size in the largest unit that gives a whole number.
func (b Bytes) String() string {
	for _, unit := range byteUnits {
		if int64(b) != 0 && int64(b)%unit.size == 0 {
			return fmt.Sprintf("%d%s", int64(b)/unit.size, unit.suffix)
		}
	}
	return fmt.Sprintf("%dB", int64(b))
}
