package relay

import (
	"time"

	"ebonyreel/decision"
	"ebonyreel/document"
	"ebonyreel/logs"
	controlv1 "ebonyreel/proto/control/v1"
)

// recordDocument records the document by which a call is judged, and since when it has
// been in force.
func (cs *callState) recordDocument(d *document.Document, since time.Time) {
	cs.documentNumber = d.Number
	cs.record.Update(func(r *decision.Record) {
		r.DocumentNumber, r.DocumentAgeMilliseconds = d.Number, time.Since(since).Milliseconds()
	})
}

// recordCall records what a call asks for.
func (r *Relay) recordCall(cs *callState) {
	cs.record.Update(func(d *decision.Record) {
		p := cs.call.Prompt
		d.Route, d.Serves = cs.route.Name, cs.pool.Name
		d.Caller, d.Priority = cs.account.Name, cs.route.Priority
		d.PromptTokens, d.MaxOutput, d.ExpectedOutput = p.Tokens, p.MaxOutput, p.ExpectedOutput
		d.ResumedRequest, d.ResumedAfter = logs.Truncate(cs.call.ResumedRequest), logs.Truncate(cs.call.LastEvent)
	})
	if shared := cs.call.Prompt.sharedParts(); len(shared) > 0 {
		cs.record.SetPromptParts(shared)
	}
}

// roleNames are the names of roles in decision records.
var roleNames = map[controlv1.Role]string{
	controlv1.Role_ROLE_SERVICE: "Service", controlv1.Role_ROLE_PREFILL: "Prefill", controlv1.Role_ROLE_DECODE: "Decode",
}

// recordChoice records the choice of an endpoint from a pool of some size, and the
// number of this entry's calls in flight there.
func (cs *callState) recordChoice(role controlv1.Role, pool int, e *controlv1.Endpoint, inFlight int) {
	if e.GetRole() == controlv1.Role_ROLE_SERVICE {
		role = controlv1.Role_ROLE_SERVICE
	}
	cs.record.AddChoice(decision.Choice{
		Attempt: uint32(cs.sent + 1), Role: roleNames[role], Members: pool,
		Candidates: []decision.Candidate{{Name: e.GetName(), Known: true, Running: inFlight}}, Chosen: e.GetName(),
		Version: logs.Truncate(e.GetVersion()),
	})
}

// recordFailure logs and records a failed attempt.
func (r *Relay) recordFailure(cs *callState, e *controlv1.Endpoint, err error) {
	r.logger(cs, err).WithField("Endpoint", e.GetName()).Info("try failed")
	cs.record.AddFailure(uint32(cs.sent), "at "+e.GetName()+": "+err.Error())
}

// endCompleted ends a call that was answered.
func (r *Relay) endCompleted(cs *callState) {
	r.metrics.callAnswered(cs)
	late := cs.missedTarget()
	if late {
		r.metrics.Late.Add(1)
	}
	cs.record.Update(func(d *decision.Record) { d.Late = late })
	r.recordEnd(cs, decision.Completed, nil)
}

// missedTarget reports whether an answer missed a latency target of its route.
func (cs *callState) missedTarget() bool {
	target, gap := time.Duration(cs.route.Target), time.Duration(cs.route.Gap)
	return target > 0 && cs.firstSent.Sub(cs.firstArrived) > target || gap > 0 && cs.longestGap > gap
}

// recordEnd records and counts how a call ended. err may be nil.
func (r *Relay) recordEnd(cs *callState, outcome string, err error) {
	r.metrics.callEnded(cs, outcome)
	cs.record.Update(func(d *decision.Record) {
		if !cs.firstSent.IsZero() {
			d.FirstMilliseconds = cs.firstSent.Sub(cs.call.Arrived).Milliseconds()
		}
		d.LongestGapMilliseconds, d.LastEvent = cs.longestGap.Milliseconds(), logs.Truncate(cs.lastEvent)
	})
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	cs.record.End(outcome, reason)
}
