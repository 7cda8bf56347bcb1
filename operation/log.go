package operation

import (
	agentv1 "ebonyreel/proto/agent/v1"
)

const (
	// maxKept bounds the ended operations that a log remembers.
	maxKept = 100_000
	// maxAnswerBytes bounds the answers that a log remembers.
	maxAnswerBytes = 16 << 20
)

// Log is the agent's side: it remembers which operations were started in one
// incarnation, so that each is started once, and which were promised never to
// start. The zero value is empty. It is not safe for concurrent use.
type Log struct {
	// Kept bounds the ended operations that are remembered; zero means
	// maxKept.
	Kept int
	// calls maps the number of an operation to what is known of it.
	calls map[uint64]*known
	// ended lists the operations that are not running, the first to end first.
	ended []uint64
	// floor is the highest number that was forgotten: nothing is known of a
	// number up to it that is not in calls.
	floor uint64
	// answered lists the operations whose answers are kept, and bytes is the
	// length of those answers.
	answered []uint64
	bytes    int
}

// known is what a log knows of one operation.
type known struct {
	outcome agentv1.SettleOutcome
	answer  *agentv1.CallResponse
}

// Start claims an operation. It returns SETTLE_OUTCOME_UNSPECIFIED where the
// caller may now run it, and what is known of it otherwise.
func (l *Log) Start(number uint64) agentv1.SettleOutcome {
	if k, ok := l.calls[number]; ok {
		return k.outcome
	}
	if number <= l.floor {
		return agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN
	}
	l.put(number, agentv1.SettleOutcome_SETTLE_OUTCOME_RUNNING)
	return agentv1.SettleOutcome_SETTLE_OUTCOME_UNSPECIFIED
}

// End records what a started operation came to.
func (l *Log) End(number uint64, o agentv1.SettleOutcome, answer *agentv1.CallResponse) {
	k, ok := l.calls[number]
	if !ok || k.outcome != agentv1.SettleOutcome_SETTLE_OUTCOME_RUNNING {
		return
	}
	k.outcome, k.answer = o, answer
	if answer != nil {
		l.answered = append(l.answered, number)
		l.bytes += len(answer.GetBody())
	}
	l.forget(number)
}

// Settle returns what is known, and promises never to start an operation that
// has not started.
func (l *Log) Settle(number uint64) (agentv1.SettleOutcome, *agentv1.CallResponse) {
	if k, ok := l.calls[number]; ok {
		return k.outcome, k.answer
	}
	if number <= l.floor {
		return agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN, nil
	}
	l.put(number, agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER)
	l.forget(number)
	return agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER, nil
}

func (l *Log) put(number uint64, o agentv1.SettleOutcome) {
	if l.calls == nil {
		l.calls = map[uint64]*known{}
	}
	l.calls[number] = &known{outcome: o}
}

// forget takes in an operation that is not running any more, and drops the
// oldest ones beyond the bounds. An operation whose answer was dropped is not
// known to have failed or succeeded.
func (l *Log) forget(number uint64) {
	l.ended = append(l.ended, number)
	kept := l.Kept
	if kept == 0 {
		kept = maxKept
	}
	for len(l.ended) > kept {
		l.floor = max(l.floor, l.ended[0])
		l.drop(l.ended[0])
		delete(l.calls, l.ended[0])
		l.ended = l.ended[1:]
	}
	for l.bytes > maxAnswerBytes {
		l.drop(l.answered[0])
		l.answered = l.answered[1:]
	}
}

func (l *Log) drop(number uint64) {
	k := l.calls[number]
	if k == nil || k.answer == nil {
		return
	}
	l.bytes -= len(k.answer.GetBody())
	k.answer, k.outcome = nil, agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN
}
