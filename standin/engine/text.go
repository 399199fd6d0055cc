package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the output token at index i, from 0, for a prompt. It contains a
// hash of the prompt and the index, so that a reader can detect gaps, duplicates
// and the output of another prompt. Tokens after the first begin with a space.
func Token(prompt string, i int) string {
	return tokenText(promptHash(prompt), i)
}

// ExpectedText returns the output tokens from (inclusive) to to (exclusive) for
// a prompt. The text of a completion of n tokens is ExpectedText(prompt, 0, n).
func ExpectedText(prompt string, from, to int) string {
	return outputText(promptHash(prompt), from, to)
}

func outputText(hash uint32, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(tokenText(hash, i))
	}
	return b.String()
}

func tokenText(hash uint32, i int) string {
	if i == 0 {
		return fmt.Sprintf("%08x.0", hash)
	}
	return fmt.Sprintf(" %08x.%d", hash, i)
}

func promptHash(prompt string) uint32 {
	return uint32(xxhash.Sum64String(prompt))
}
