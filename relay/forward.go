package relay

import (
	"errors"
	"io"
	"math"
	"net/http"
	"time"

	"ebonyreel/answers"
)

// maxKeptBytes bounds the comments that are kept until the first event, and an answer
// that is kept in case no other endpoint does better.
const maxKeptBytes = 64 << 10

// forwardAnswer sends an answer that is not a stream to the caller and returns
// the time that it took to arrive. Two answers are errors instead: one in place of a
// started stream, which can't continue with it, and a server error on a repeatable
// route. The latter is kept for the caller in case no other endpoint does better.
func (r *Relay) forwardAnswer(cs *callState, reply *Reply, monitor *stallMonitor, start time.Time) (time.Duration, error) {
	memory := r.answers.Open(monitor.giveUp)
	defer func() {
		if !cs.keeps(reply) {
			memory.Close()
		}
	}()
	body, err := memory.Read(reply.Body, math.MaxInt)
	if err != nil {
		return 0, err
	}
	if cs.started {
		return 0, &StatusError{Status: reply.Status}
	}
	if reply.Status >= 500 && cs.route.Repeatable() {
		cs.keepFailed(&failedAnswer{reply: reply, body: body, memory: memory})
		return 0, &StatusError{Status: reply.Status}
	}
	if reply.Status < http.StatusMultipleChoices {
		r.proveParts(cs, reply)
	}
	latency := time.Since(start)
	cs.firstSent = time.Now()
	r.metrics.First.observe(string(cs.route.Kind), cs.firstSent.Sub(cs.call.Arrived))
	r.logUnwritten(cs, cs.answer.WriteAnswer(reply, body))
	return latency, nil
}

// forwardStream sends the events of a stream to the caller as they arrive, and
// returns the time until the first one.
func (r *Relay) forwardStream(cs *callState, reply *Reply, monitor *stallMonitor, start time.Time) (time.Duration, error) {
	var latency time.Duration
	// previous is when the last event of this attempt arrived.
	var previous time.Time
	// comments are those that came before the first event.
	var comments []byte
	memory := r.answers.Open(monitor.giveUp)
	defer memory.Close()
	reader := newEventReader(reply.Body, cs.lastEvent, memory)
	for {
		event, err := reader.next()
		if errors.Is(err, io.EOF) {
			if reply.Unframed && cs.attemptEvents == 0 {
				// The endpoint crashed before its first event.
				return latency, io.ErrUnexpectedEOF
			}
			if cs.attemptEvents > 0 {
				r.proveParts(cs, reply)
			}
			return latency, r.finishStream(cs, reply, comments)
		}
		if err != nil {
			return latency, err
		}
		if !reader.hasFields {
			// Comments are no progress, so that the monitor is not reset.
			if comments, err = forwardComments(cs, memory, comments, event); err != nil {
				return latency, err
			}
			continue
		}
		if monitor.stop(); monitor.stall != nil {
			// Another engine has begun after the event before this one.
			return latency, monitor.stall
		}
		if len(comments) > 0 {
			event, comments = append(comments, event...), nil
		}
		if latency == 0 {
			latency = max(time.Since(start), 1)
		}
		now := time.Now()
		if !previous.IsZero() && cs.reservesMemory() {
			r.workload.Decoded(cs.pool.Name, cs.eventTokens(), now.Sub(previous))
			r.runs.flowed(cs.run, now.Sub(previous)/time.Duration(cs.eventTokens()))
		}
		previous = now
		cs.attemptEvents++
		if err := r.forwardEvent(cs, reply, event); err != nil {
			return latency, err
		}
		cs.lastEvent = reader.id
		monitor.reset(stallGaps * time.Duration(cs.route.Gap))
	}
}

// forwardEvent sends one event to the caller, and the head of the answer before
// the first one.
func (r *Relay) forwardEvent(cs *callState, reply *Reply, event []byte) error {
	if !cs.started {
		if cs.origin == nil {
			r.recordOrigin(cs)
		} else if cs.route.Resumable {
			r.recordResumption(cs)
		}
		if err := cs.answer.BeginStream(reply); err != nil {
			return &CallerGoneError{Cause: err}
		}
		cs.started, cs.firstSent = true, time.Now()
		r.metrics.First.observe(string(cs.route.Kind), cs.firstSent.Sub(cs.call.Arrived))
	}
	if err := cs.answer.WriteEvent(event); err != nil {
		return &CallerGoneError{Cause: err}
	}
	cs.eventCount++
	now := time.Now()
	if !cs.lastSent.IsZero() {
		cs.longestGap = max(cs.longestGap, now.Sub(cs.lastSent))
	}
	cs.lastSent = now
	return nil
}

// forwardComments sends comments to the caller of a started stream, and otherwise
// returns them with those before, to be sent with the first event.
func forwardComments(cs *callState, memory *answers.Answer, before, comments []byte) ([]byte, error) {
	if cs.started {
		if err := cs.answer.WriteEvent(comments); err != nil {
			return nil, &CallerGoneError{Cause: err}
		}
		return nil, nil
	}
	if len(before)+len(comments) > maxKeptBytes {
		return nil, &EventTooLongError{}
	}
	if err := memory.Grow(int64(len(comments))); err != nil {
		return nil, err
	}
	return append(before, comments...), nil
}

// finishStream ends a stream all of whose events were sent to the caller. One
// without events still needs the head of the answer.
func (r *Relay) finishStream(cs *callState, reply *Reply, comments []byte) error {
	if cs.started {
		return nil
	}
	if err := cs.answer.BeginStream(reply); err != nil {
		return &CallerGoneError{Cause: err}
	}
	if len(comments) > 0 {
		if err := cs.answer.WriteEvent(comments); err != nil {
			return &CallerGoneError{Cause: err}
		}
	}
	return nil
}
