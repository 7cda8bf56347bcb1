// Package operation decides how a call that is not idempotent runs at most
// once: the entry's side of one call, and the agent's log of what it started.
// It has no clock and does no I/O.
package operation

import (
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

// Action is what an entry has to do next for a call.
type Action int

const (
	// Begin asks control to record a dispatch.
	Begin Action = iota
	// Dispatch sends the call to the agent of the record, once.
	Dispatch
	// Settle asks the agent of the record what became of its dispatch.
	Settle
	// Finish asks control to record the outcome.
	Finish
	// Reply gives the caller the verdict.
	Reply
)

// Verdict is what the caller is told.
type Verdict int

const (
	// Unknown means that the call may have run.
	Unknown Verdict = iota
	// Answered means that it ran, with an answer.
	Answered
	// NotRun means that it did not run and will not.
	NotRun
	// Running means that a call with the key is under way.
	Running
	// Conflict means that the key was used with another body.
	Conflict
)

// maxBegins bounds the dispatches of one call; each but the last was proved
// not to run.
const maxBegins = 3

// Call is the entry's side of one call. The zero value is a call that was not
// recorded yet.
type Call struct {
	// Record is the record in force, as far as it is known.
	Record *controlv1.Operation
	// Verdict is meant for Reply.
	Verdict Verdict
	// Open is true where an unknown outcome may still become known.
	Open bool
	// Answer is set with Answered; it is nil where the answer was not kept.
	Answer *agentv1.CallResponse
	// begins counts the dispatches that were recorded for this call.
	begins int
}

// BeginFailed takes in that control did not answer. A call with the same key
// may have run before, so nothing is proved.
func (c *Call) BeginFailed() Action {
	return c.unknown(true)
}

// BeginConflict takes in that the key was recorded with another body.
func (c *Call) BeginConflict() Action {
	c.Verdict = Conflict
	return Reply
}

// Begun takes in the record in force, and whether this call made it.
func (c *Call) Begun(record *controlv1.Operation, created bool) Action {
	c.Record = record
	c.begins++
	if created {
		return Dispatch
	}
	return c.read()
}

// read decides by a record that somebody else made.
func (c *Call) read() Action {
	switch c.Record.GetState() {
	case controlv1.OperationState_OPERATION_STATE_DONE:
		return c.answered(recordedAnswer(c.Record))
	case controlv1.OperationState_OPERATION_STATE_NOT_RUN:
		return c.again()
	}
	return Settle
}

// recordedAnswer returns the answer in a record, or nil where it was too large
// to be kept.
func recordedAnswer(o *controlv1.Operation) *agentv1.CallResponse {
	if o.GetStatus() == 0 {
		return nil
	}
	return &agentv1.CallResponse{Status: o.GetStatus(), ContentType: o.GetContentType(), Body: o.GetAnswer()}
}

// again begins anew, unless that was done often enough. The key had not run
// when its record was read.
func (c *Call) again() Action {
	if c.begins < maxBegins {
		return Begin
	}
	c.Verdict = NotRun
	return Reply
}

func (c *Call) answered(a *agentv1.CallResponse) Action {
	c.Verdict, c.Answer = Answered, a
	return Reply
}

func (c *Call) unknown(open bool) Action {
	c.Verdict, c.Open = Unknown, open
	return Reply
}

// Ran takes in the answer to the dispatch.
func (c *Call) Ran(a *agentv1.CallResponse) Action {
	return c.outcome(controlv1.OperationState_OPERATION_STATE_DONE, a)
}

// Undone takes in the proof that the dispatch did not run and will not.
func (c *Call) Undone() Action {
	return c.outcome(controlv1.OperationState_OPERATION_STATE_NOT_RUN, nil)
}

// Unclear takes in that the dispatch has no answer.
func (c *Call) Unclear() Action {
	return Settle
}

// Settled takes in what the agent of the record knows.
func (c *Call) Settled(o agentv1.SettleOutcome, a *agentv1.CallResponse) Action {
	switch o {
	case agentv1.SettleOutcome_SETTLE_OUTCOME_DONE:
		return c.Ran(a)
	case agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER:
		return c.Undone()
	case agentv1.SettleOutcome_SETTLE_OUTCOME_RUNNING:
		c.Verdict = Running
		return Reply
	}
	return c.Lost()
}

// Lost takes in that nobody can tell what became of the dispatch, as the
// incarnation that it was for is gone.
func (c *Call) Lost() Action {
	return c.outcome(controlv1.OperationState_OPERATION_STATE_UNKNOWN, nil)
}

// Unsettled takes in that the agent of the record did not answer.
func (c *Call) Unsettled() Action {
	return c.unknown(true)
}

// outcome puts an outcome into the record, which is then to be finished.
func (c *Call) outcome(s controlv1.OperationState, a *agentv1.CallResponse) Action {
	o := &controlv1.Operation{
		Environment: c.Record.GetEnvironment(),
		Caller:      c.Record.GetCaller(),
		Key:         c.Record.GetKey(),
		Entry:       c.Record.GetEntry(),
		Number:      c.Record.GetNumber(),
		State:       s,
	}
	if len(a.GetBody()) <= maxRecordedBytes {
		o.Status, o.ContentType, o.Answer = a.GetStatus(), a.GetContentType(), a.GetBody()
	}
	c.Record, c.Answer = o, a
	return Finish
}

// maxRecordedBytes bounds the answer in a record. A longer one reaches its
// caller once; who sends the key again learns that it ran.
const maxRecordedBytes = 64 << 10

// Finished takes in the record in force after an outcome was recorded.
func (c *Call) Finished(record *controlv1.Operation) Action {
	asked := c.Record
	if asked.GetState() == controlv1.OperationState_OPERATION_STATE_DONE {
		return c.answered(c.Answer)
	}
	c.Record = record
	same := record.GetNumber() == asked.GetNumber()
	if asked.GetState() == controlv1.OperationState_OPERATION_STATE_UNKNOWN && same && record.GetState() == asked.GetState() {
		return c.unknown(false)
	}
	if !same && c.begins >= maxBegins {
		return c.unknown(true)
	}
	if !same {
		return Begin
	}
	return c.read()
}

// FinishFailed takes in that control did not record the outcome.
func (c *Call) FinishFailed() Action {
	if c.Record.GetState() == controlv1.OperationState_OPERATION_STATE_DONE {
		return c.answered(c.Answer)
	}
	return c.unknown(true)
}
