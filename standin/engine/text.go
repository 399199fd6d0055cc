package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the output token i of a prompt, counted from 0. It holds a hash
// of the prompt and i, so that a reader detects gaps, repeats and the answer to
// another prompt. Tokens after the first begin with a space.
func Token(prompt string, i int) string {
	return token(promptHash(prompt), i)
}

// ExpectedText returns the output tokens from (inclusive) to to (exclusive) of
// a prompt. The text of a completion of n tokens is ExpectedText(prompt, 0, n).
func ExpectedText(prompt string, from, to int) string {
	return tokens(promptHash(prompt), from, to)
}

func tokens(hash uint32, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(token(hash, i))
	}
	return b.String()
}

func token(hash uint32, i int) string {
	if i == 0 {
		return fmt.Sprintf("%08x.0", hash)
	}
	return fmt.Sprintf(" %08x.%d", hash, i)
}

func promptHash(prompt string) uint32 {
	return uint32(xxhash.Sum64String(prompt))
}
