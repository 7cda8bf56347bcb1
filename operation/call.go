// Package operation makes a call that is not idempotent run at most once. Call
// is the state machine of an entry for one call; Log is an agent's record of the
// operations that it started. Neither has a clock or does I/O.
package operation

import (
	agentv1 "ebonyreel/proto/agent/v1"
	controlv1 "ebonyreel/proto/control/v1"
)

// Action is the next step that an entry has to take for a call.
type Action int

const (
	// Begin asks control to record a dispatch.
	Begin Action = iota
	// Dispatch sends the call to the agent in the record, once.
	Dispatch
	// Settle asks the agent in the record for the outcome of the dispatch.
	Settle
	// Finish asks control to record the outcome.
	Finish
	// Reply sends the verdict to the caller.
	Reply
)

// Verdict is the result that the caller is told.
type Verdict int

const (
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Verdict = iota
	// Answered means that the call ran and was answered.
	Answered
	// NotRun means that the call did not run and will not.
	NotRun
	// Running means that a call with the same key is running.
	Running
	// Conflict means that the key was used with another body.
	Conflict
)

// maxBeginCount bounds the times that one call asks control to record a
// dispatch. It asks again when the recorded dispatch was proved not to run, or
// when another record took the place of its own.
const maxBeginCount = 3

// Call is the entry's side of one call. The zero value is a call that was not
// recorded yet. Each method takes an event and returns the next action.
type Call struct {
	// Record is the newest known record of the operation in control. While the
	// action is Finish, it is the one to record.
	Record *controlv1.Operation
	// Verdict is valid once the action is Reply.
	Verdict Verdict
	// MayResolve is true if the verdict is OutcomeUnknown and the outcome may
	// still become known.
	MayResolve bool
	// Answer is the answer of the verdict Answered. It is nil if the answer was
	// too large to be recorded.
	Answer *agentv1.CallResponse
	// beginCount is the number of calls of Begun.
	beginCount int
}

// BeginFailed handles a Begin that control did not answer. The verdict is
// OutcomeUnknown, because a call with the same key may have run before.
func (c *Call) BeginFailed() Action {
	return c.replyUnknown(true)
}

// BeginConflict handles a Begin whose key is recorded with another body.
func (c *Call) BeginConflict() Action {
	c.Verdict = Conflict
	return Reply
}

// Begun handles the record that control returned, and whether this call created
// it.
func (c *Call) Begun(record *controlv1.Operation, created bool) Action {
	c.Record = record
	c.beginCount++
	if created {
		return Dispatch
	}
	return c.continueFromRecord()
}

// continueFromRecord decides by the state of a record that may be another
// call's.
func (c *Call) continueFromRecord() Action {
	switch c.Record.GetState() {
	case controlv1.OperationState_OPERATION_STATE_DONE:
		return c.replyAnswered(recordedAnswer(c.Record))
	case controlv1.OperationState_OPERATION_STATE_NOT_RUN:
		return c.retry()
	}
	return Settle
}

// recordedAnswer returns the answer in a record, or nil if it was too large to
// be recorded.
func recordedAnswer(o *controlv1.Operation) *agentv1.CallResponse {
	if o.GetStatus() == 0 {
		return nil
	}
	return &agentv1.CallResponse{Status: o.GetStatus(), ContentType: o.GetContentType(), Body: o.GetAnswer()}
}

// retry begins again, up to maxBeginCount times. It is used when the record says
// that the operation did not run.
func (c *Call) retry() Action {
	if c.beginCount < maxBeginCount {
		return Begin
	}
	c.Verdict = NotRun
	return Reply
}

func (c *Call) replyAnswered(a *agentv1.CallResponse) Action {
	c.Verdict, c.Answer = Answered, a
	return Reply
}

func (c *Call) replyUnknown(mayResolve bool) Action {
	c.Verdict, c.MayResolve = OutcomeUnknown, mayResolve
	return Reply
}

// DispatchAnswered handles the answer to the dispatch.
func (c *Call) DispatchAnswered(a *agentv1.CallResponse) Action {
	return c.finishWith(controlv1.OperationState_OPERATION_STATE_DONE, a)
}

// DispatchNotRun handles the proof that the dispatch did not run and will not.
func (c *Call) DispatchNotRun() Action {
	return c.finishWith(controlv1.OperationState_OPERATION_STATE_NOT_RUN, nil)
}

// DispatchUnanswered handles a dispatch without an answer.
func (c *Call) DispatchUnanswered() Action {
	return Settle
}

// Settled handles the outcome that the agent in the record reported.
func (c *Call) Settled(o agentv1.SettleOutcome, a *agentv1.CallResponse) Action {
	switch o {
	case agentv1.SettleOutcome_SETTLE_OUTCOME_DONE:
		return c.DispatchAnswered(a)
	case agentv1.SettleOutcome_SETTLE_OUTCOME_NEVER:
		return c.DispatchNotRun()
	case agentv1.SettleOutcome_SETTLE_OUTCOME_RUNNING:
		c.Verdict = Running
		return Reply
	}
	return c.OutcomeLost()
}

// OutcomeLost handles a dispatch whose outcome cannot be known any more: the
// agent's incarnation has ended, or the agent no longer knows the operation.
func (c *Call) OutcomeLost() Action {
	return c.finishWith(controlv1.OperationState_OPERATION_STATE_UNKNOWN, nil)
}

// SettleUnanswered handles a Settle that the agent in the record did not answer.
func (c *Call) SettleUnanswered() Action {
	return c.replyUnknown(true)
}

// finishWith sets Record to the operation with an outcome, which control has to
// record.
func (c *Call) finishWith(s controlv1.OperationState, a *agentv1.CallResponse) Action {
	record := &controlv1.Operation{
		Environment: c.Record.GetEnvironment(),
		Caller:      c.Record.GetCaller(),
		Key:         c.Record.GetKey(),
		Entry:       c.Record.GetEntry(),
		Number:      c.Record.GetNumber(),
		State:       s,
	}
	if len(a.GetBody()) <= maxRecordedBytes {
		record.Status, record.ContentType, record.Answer = a.GetStatus(), a.GetContentType(), a.GetBody()
	}
	c.Record, c.Answer = record, a
	return Finish
}

// maxRecordedBytes bounds the body of the answer in a record. A longer answer is
// sent to the caller once; a later call with the key only learns that it ran.
const maxRecordedBytes = 64 << 10

// Finished handles the record that control returned for an outcome. It differs
// from the one in the request if another outcome or dispatch was recorded before.
func (c *Call) Finished(record *controlv1.Operation) Action {
	requested := c.Record
	if requested.GetState() == controlv1.OperationState_OPERATION_STATE_DONE {
		return c.replyAnswered(c.Answer)
	}
	c.Record = record
	sameNumber := record.GetNumber() == requested.GetNumber()
	if requested.GetState() == controlv1.OperationState_OPERATION_STATE_UNKNOWN && sameNumber && record.GetState() == requested.GetState() {
		return c.replyUnknown(false)
	}
	if !sameNumber && c.beginCount >= maxBeginCount {
		return c.replyUnknown(true)
	}
	if !sameNumber {
		return Begin
	}
	return c.continueFromRecord()
}

// FinishFailed handles a Finish that control did not confirm.
func (c *Call) FinishFailed() Action {
	if c.Record.GetState() == controlv1.OperationState_OPERATION_STATE_DONE {
		return c.replyAnswered(c.Answer)
	}
	return c.replyUnknown(true)
}
