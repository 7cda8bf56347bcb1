package allocation

import "time"

// speedWindow is the number of prompts over which an engine's prefill time per token
// extends.
const speedWindow = 20

// backlog is the work that a prefill engine was given and has not done. The zero
// value has none.
type backlog struct {
	// prompts are the lengths of the prompts, keyed by the ID of the run, and tokens
	// is their sum.
	prompts map[string]int
	tokens  int
	// workingSince is when the engine began with the prompt that it computes now.
	workingSince time.Time
	// computedTime and computedTokens are the decaying sums of the time and the tokens
	// of the prompts that the engine has computed. Their ratio is its speed: it may
	// work on several prompts at once, so that the time between two ends says little
	// about one of them.
	computedTime   float64
	computedTokens float64
}

// add adds a prompt.
func (b *backlog) add(id string, tokens int, now time.Time) {
	if b.prompts == nil {
		b.prompts = map[string]int{}
	}
	if len(b.prompts) == 0 {
		b.workingSince = now
	}
	b.prompts[id] = tokens
	b.tokens += tokens
}

// done removes a prompt. Where the engine has computed it, the time since it began
// counts as the time of that prompt.
func (b *backlog) done(id string, computed bool, now time.Time) {
	tokens, ok := b.prompts[id]
	if !ok {
		return
	}
	if computed && tokens > 0 {
		const keep = 1 - 1.0/speedWindow
		b.computedTime = b.computedTime*keep + float64(now.Sub(b.workingSince))
		b.computedTokens = b.computedTokens*keep + float64(tokens)
	}
	b.workingSince = now
	b.drop(id)
}

// drop removes a prompt that the engine does not compute.
func (b *backlog) drop(id string) {
	b.tokens -= b.prompts[id]
	delete(b.prompts, id)
}

// perToken returns the time per token that the engine has shown; zero before the
// first prompt.
func (b *backlog) perToken() time.Duration {
	if b.computedTokens == 0 {
		return 0
	}
	return time.Duration(b.computedTime / b.computedTokens)
}

// wait returns the time until the engine has done its work. defaultPerToken is used
// while its own speed is unknown.
func (b *backlog) wait(defaultPerToken time.Duration, now time.Time) time.Duration {
	if len(b.prompts) == 0 {
		return 0
	}
	perToken := b.perToken()
	if perToken == 0 {
		perToken = defaultPerToken
	}
	return max(time.Duration(b.tokens)*perToken-now.Sub(b.workingSince), 0)
}
