// Package tokens is the simulated language model. The token at a position depends
// on the prompt and the position only, so that a token that is lost, repeated or
// from another request's answer is detected.
package tokens

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the length of a prompt token in bytes.
	BytesPerToken = 4
	// minAnswerTokens is the least natural length of an answer, and
	// answerTokenSpread the number of different lengths from there on.
	minAnswerTokens   = 16
	answerTokenSpread = 112
)

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) int {
	return len(prompt)/BytesPerToken + 1
}

// TokenText returns the text of the token at a position of the answer to a prompt.
func TokenText(prompt string, position int) string {
	return " " + strconv.FormatUint(tokenHash(prompt, position)%100_000, 36)
}

// AnswerTokens returns the natural length in tokens of the answer to a prompt.
func AnswerTokens(prompt string) int {
	return minAnswerTokens + int(tokenHash(prompt, -1)%answerTokenSpread)
}

// MeanSteps returns the mean number of decode steps of an answer with at most
// maxTokens tokens, including the step of the end marker.
func MeanSteps(maxTokens int) float64 {
	sum := 0
	for n := minAnswerTokens; n < minAnswerTokens+answerTokenSpread; n++ {
		sum += min(n, maxTokens) + 1
	}
	return float64(sum) / answerTokenSpread
}

func tokenHash(prompt string, position int) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(position))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// ExpectedAnswer returns the answer to a prompt with at most maxTokens tokens,
// and its finish reason: "stop" at its natural length, "length" at maxTokens.
func ExpectedAnswer(prompt string, maxTokens int) (string, string) {
	n, reason := AnswerTokens(prompt), "stop"
	if maxTokens < n {
		n, reason = maxTokens, "length"
	}
	var out []byte
	for i := range n {
		out = append(out, TokenText(prompt, i)...)
	}
	return string(out), reason
}
