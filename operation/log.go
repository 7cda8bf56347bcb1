package operation

import (
	agentv1 "ebonyreel/proto/agent/v1"
)

const (
	// defaultMaxEnded bounds the ended operations that a log keeps, unless MaxEnded
	// is set.
	defaultMaxEnded = 100_000
	// maxAnswerBytes bounds the bodies of the answers that a log keeps, in total.
	maxAnswerBytes = 16 << 20
)

// Log is the agent's side of operations. For one incarnation of the agent it
// keeps which operations were started, so that each starts at most once, and
// which must never start. The zero value is empty. It is not safe for concurrent
// use.
type Log struct {
	// MaxEnded bounds the ended operations that are kept; zero means
	// defaultMaxEnded.
	MaxEnded int
	// operations maps the number of an operation to its state.
	operations map[uint64]*loggedOperation
	// ended lists the numbers of the operations that are not running, in the
	// order in which they ended.
	ended []uint64
	// highestForgotten is the highest number that was removed. The outcome of a
	// number up to it that is not in operations is unknown.
	highestForgotten uint64
	// withAnswer lists the numbers of the operations that ended with an answer,
	// the oldest first.
	withAnswer []uint64
	// answerBytes is the total size of the bodies of the answers that are kept.
	answerBytes int
}

// loggedOperation is the state of one operation in a log.
type loggedOperation struct {
	outcome agentv1.SettleOutcome
	answer  *agentv1.CallResponse
}

// Start claims an operation. It returns SETTLE_OUTCOME_UNSPECIFIED if the agent
// may run it now, and the known outcome otherwise.
func (l *Log) Start(number uint64) agentv1.SettleOutcome {
	if op, ok := l.operations[number]; ok {
		return op.outcome
	}
	if number <= l.highestForgotten {
		return agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN
	}
	l.add(number, agentv1.SettleOutcome_SETTLE_OUTCOME_RUNNING)
	return agentv1.SettleOutcome_SETTLE_OUTCOME_UNSPECIFIED
}

// End records the outcome of a running operation, and its answer, which may be
// nil.
func (l *Log) End(number uint64, o agentv1.SettleOutcome, answer *agentv1.CallResponse) {
	op, ok := l.operations[number]
	if !ok || op.outcome != agentv1.SettleOutcome_SETTLE_OUTCOME_RUNNING {
		return
	}
	op.outcome, op.answer = o, answer
	if answer != nil {
		l.withAnswer = append(l.withAnswer, number)
		l.answerBytes += len(answer.GetBody())
	}
	l.markEnded(number)
}

// Settle returns the known outcome of an operation, and its answer if it is
// kept. An operation that has not started is marked so that it never starts.
func (l *Log) Settle(number uint64) (agentv1.SettleOutcome, *agentv1.CallResponse) {
	if op, ok := l.operations[number]; ok {
		return op.outcome, op.answer
	}
	if number <= l.highestForgotten {
		return agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN, nil
	}
	l.add(number, agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER)
	l.markEnded(number)
	return agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER, nil
}

func (l *Log) add(number uint64, o agentv1.SettleOutcome) {
	if l.operations == nil {
		l.operations = map[uint64]*loggedOperation{}
	}
	l.operations[number] = &loggedOperation{outcome: o}
}

// markEnded adds an operation to the ended ones, removes the oldest of them above
// the bound, and drops the oldest answers above their bound. The outcome of an
// operation without its answer is then unknown.
func (l *Log) markEnded(number uint64) {
	l.ended = append(l.ended, number)
	limit := l.MaxEnded
	if limit == 0 {
		limit = defaultMaxEnded
	}
	for len(l.ended) > limit {
		l.highestForgotten = max(l.highestForgotten, l.ended[0])
		l.dropAnswer(l.ended[0])
		delete(l.operations, l.ended[0])
		l.ended = l.ended[1:]
	}
	for l.answerBytes > maxAnswerBytes {
		l.dropAnswer(l.withAnswer[0])
		l.withAnswer = l.withAnswer[1:]
	}
}

// dropAnswer removes the answer of an operation, if it has one.
func (l *Log) dropAnswer(number uint64) {
	op := l.operations[number]
	if op == nil || op.answer == nil {
		return
	}
	l.answerBytes -= len(op.answer.GetBody())
	op.answer, op.outcome = nil, agentv1.SettleOutcome_SETTLE_OUTCOME_UNKNOWN
}
