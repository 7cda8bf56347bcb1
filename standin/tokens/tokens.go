// Package tokens is the stand-in language model: the token at a position is a
// function of the prompt and the position alone, so that any token that is
// lost, repeated or crossed shows.
package tokens

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the length of a token in a prompt.
	BytesPerToken = 4
	// minOutput and outputSpread bound the natural length of an answer.
	minOutput    = 16
	outputSpread = 112
)

// Count returns the number of tokens of a prompt.
func Count(prompt string) int {
	return len(prompt)/BytesPerToken + 1
}

// Text returns the token at a position of the answer to a prompt.
func Text(prompt string, position int) string {
	return " " + strconv.FormatUint(hash(prompt, position)%100_000, 36)
}

// Length returns the natural length of the answer to a prompt.
func Length(prompt string) int {
	return minOutput + int(hash(prompt, -1)%outputSpread)
}

// MeanSteps returns the mean number of decode steps of an answer, the end
// marker's step included.
func MeanSteps(maxTokens int) float64 {
	sum := 0
	for n := minOutput; n < minOutput+outputSpread; n++ {
		sum += min(n, maxTokens) + 1
	}
	return float64(sum) / outputSpread
}

func hash(prompt string, position int) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(position))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Answer returns the whole answer to a prompt and the reason for its end.
func Answer(prompt string, maxTokens int) (string, string) {
	n, reason := Length(prompt), "stop"
	if maxTokens < n {
		n, reason = maxTokens, "length"
	}
	var out []byte
	for i := range n {
		out = append(out, Text(prompt, i)...)
	}
	return string(out), reason
}
