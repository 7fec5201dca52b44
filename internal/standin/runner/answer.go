package runner

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns token i of the answer of an adapter version to a prompt. It is
// a pure function, so that a checker can tell a right answer from a wrong one.
func Token(model, prompt string, i int) string {
	sum := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", model, prompt, i))
	return fmt.Sprintf("%06x ", sum&0xffffff)
}

// Answer returns the first n tokens of an answer.
func Answer(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}
	return b.String()
}

// CountTokens returns the number of prompt tokens: one per four bytes begun.
func CountTokens(prompt string) int { return (len(prompt) + 3) / 4 }
