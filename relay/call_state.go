package relay

import (
	"time"

	"ebonyreel/answers"
	"ebonyreel/decision"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

// callState is the state of one call while it is served.
type callState struct {
	call           *Call
	answer         AnswerWriter
	route          document.Route
	pool           document.Pool
	documentNumber uint64
	// account is the client account; its name is empty for none. keyCheckedAt is the
	// number of the document that had its key, and quotaTaken what the call took of its
	// quota.
	account      document.Caller
	keyCheckedAt uint64
	quotaTaken   float64
	deadline     time.Time
	// firstArrived is when the call arrived for the first time, before its caller
	// retried it, as estimated from its timeout.
	firstArrived time.Time
	// sent is the number of times that the call was sent to an endpoint, and
	// dialFailures the number of failed dials.
	sent         int
	dialFailures int
	// endpoint is the endpoint of the current or last attempt, and exposed is true once it
	// may have received the call in this attempt.
	endpoint Endpoint
	exposed  bool
	// prepared is memory reserved for the next attempt, or nil, and begun is that attempt
	// where its endpoint has begun it. budgetCharged is true where the next attempt is
	// already charged to the retry budget.
	prepared      *reservation
	begun         *begunAttempt
	budgetCharged bool
	// run is the ID of the run of the current or last attempt with reserved memory.
	run string
	// mayHaveRun is true once an endpoint may have run the call.
	mayHaveRun bool
	// prefills is the number of engines that were asked to compute the prompt, and
	// prefillAccepted is true once one of them may have accepted it.
	prefills        int
	prefillAccepted bool
	// demandRecorded is true once the call counts as demand of its pool.
	demandRecorded bool
	// attempted are the names of the endpoints that the call was sent to.
	attempted map[string]bool
	// origin is where the stream began; nil before the caller has received an event.
	origin *controlv1.StreamOrigin
	// started is true once a stream to the caller has started, lastEvent is the ID
	// of the last event sent to the caller or received before, and eventCount the
	// number sent.
	started    bool
	lastEvent  string
	eventCount int
	// attemptEvents is the number of events received in the current or last attempt.
	attemptEvents int
	// parts are the digests of the shared parts of the prompt, which do not change, and
	// trial are those that the call is the trial of.
	parts []string
	trial []string
	// firstSent is when the caller was sent the answer or its first event, lastSent
	// when it was sent its last event, and longestGap the longest time between two
	// events.
	firstSent  time.Time
	lastSent   time.Time
	longestGap time.Duration
	// failed is a server error from an endpoint, which the caller gets where no other
	// endpoint does better; nil for none.
	failed *failedAnswer
	record *decision.Request
}

// timeLeft returns how long the caller still waits, also for a call that it sends
// again.
func (cs *callState) timeLeft() time.Duration {
	if cs.call.Timeout > 0 {
		return time.Until(cs.call.Arrived.Add(cs.call.Timeout))
	}
	return time.Until(cs.deadline)
}

// failedAnswer is a server error from an endpoint.
type failedAnswer struct {
	// reply is still open, as that accounts for the memory of its head.
	reply *Reply
	body  []byte
	// memory is that of the body.
	memory *answers.Answer
}

// keepFailed keeps a server error from an endpoint unless it is long.
func (cs *callState) keepFailed(f *failedAnswer) {
	if len(f.body) <= maxKeptBytes {
		cs.dropFailed()
		cs.failed = f
	}
}

// keeps reports whether an answer is the server error that is kept.
func (cs *callState) keeps(reply *Reply) bool {
	return cs.failed != nil && cs.failed.reply == reply
}

// dropFailed drops the server error that is kept, if there is one.
func (cs *callState) dropFailed() {
	if cs.failed != nil {
		_ = cs.failed.reply.Body.Close()
		cs.failed.memory.Close()
		cs.failed = nil
	}
}
