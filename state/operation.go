package state

import (
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

func operationKey(o *controlv1.Operation) string {
	return strings.Join([]string{o.GetEnvironment(), o.GetCaller(), o.GetKey()}, "\x00")
}

// Operation returns the record of a call, or nil.
func (s *State) Operation(environment, caller, key string) *controlv1.Operation {
	return s.operations[operationKey(&controlv1.Operation{Environment: environment, Caller: caller, Key: key})]
}

// begin records an operation before its dispatch. One with the same key and
// body that was recorded earlier is returned instead; another body under the
// key is a *ConflictError. A record that says "not run" makes room for a new
// dispatch, but never for its own. The error is a *FullError when all records
// that may be kept are open.
func (s *State) begin(now time.Time, o *controlv1.Operation) (proto.Message, error) {
	s.forget(now, o.GetEnvironment())
	key := operationKey(o)
	old := s.operations[key]
	if old != nil && old.GetBodyDigest() != o.GetBodyDigest() {
		return nil, &ConflictError{Subject: "Idempotency-Key " + o.GetKey()}
	}
	if old != nil && !makesRoom(old, o) {
		return &controlv1.BeginOperationResponse{Operation: old, Created: reopened(old, o)}, nil
	}
	if old == nil {
		kept := s.order[o.GetEnvironment()]
		if len(kept) >= s.retention(o.GetEnvironment()).OperationsKept {
			return nil, &FullError{Subject: "operations of " + o.GetEnvironment(), Kept: len(kept)}
		}
		s.order[o.GetEnvironment()] = append(kept, key)
	}
	s.incarnation++
	next := proto.CloneOf(o)
	next.State = controlv1.OperationState_OPERATION_STATE_STARTED
	next.Number = s.incarnation
	next.UpdatedAt = timestamppb.New(now)
	s.operations[key] = next
	return &controlv1.BeginOperationResponse{Operation: next, Created: true}, nil
}

// makesRoom reports whether a record lets another dispatch begin. A copy of
// the recorded dispatch that arrives late does not begin again.
func makesRoom(old, o *controlv1.Operation) bool {
	return old.GetState() == controlv1.OperationState_OPERATION_STATE_NOT_RUN && old.GetDispatch() != o.GetDispatch()
}

// reopened reports whether a record was made by the very dispatch that asks
// again because its first answer was lost.
func reopened(old, o *controlv1.Operation) bool {
	started := old.GetState() == controlv1.OperationState_OPERATION_STATE_STARTED
	return started && o.GetDispatch() != "" && old.GetDispatch() == o.GetDispatch()
}

// finish records the outcome of the dispatch of a number, and returns the
// record in force. An outcome that was proved stays; one that nobody could
// prove gives way to a proof.
func (s *State) finish(now time.Time, o *controlv1.Operation) (proto.Message, error) {
	key := operationKey(o)
	old := s.operations[key]
	if old == nil {
		return nil, &NotFoundError{Subject: "operation " + o.GetKey()}
	}
	if old.GetNumber() != o.GetNumber() || proved(old.GetState()) || old.GetState() == o.GetState() {
		return &controlv1.FinishOperationResponse{Operation: old}, nil
	}
	next := proto.CloneOf(o)
	next.BodyDigest, next.Dispatch = old.GetBodyDigest(), old.GetDispatch()
	next.Agent, next.AgentIncarnation = old.GetAgent(), old.GetAgentIncarnation()
	next.UpdatedAt = timestamppb.New(now)
	s.operations[key] = next
	return &controlv1.FinishOperationResponse{Operation: next}, nil
}

func proved(s controlv1.OperationState) bool {
	return s == controlv1.OperationState_OPERATION_STATE_DONE || s == controlv1.OperationState_OPERATION_STATE_NOT_RUN
}

// forget drops the records of an environment that are older than its retention
// and, beyond the bound, the oldest of those that are not open. It looks at
// the oldest records only, and moves one that must stay to the end.
func (s *State) forget(now time.Time, environment string) {
	keep := s.retention(environment)
	order := s.order[environment]
	for range order {
		key := order[0]
		o := s.operations[key]
		old := before(o.GetUpdatedAt().AsTime(), now, time.Duration(keep.Operations))
		if !old && len(order) < keep.OperationsKept {
			break
		}
		order = order[1:]
		if !old && o.GetState() == controlv1.OperationState_OPERATION_STATE_STARTED {
			order = append(order, key)
			continue
		}
		delete(s.operations, key)
	}
	s.order[environment] = order
}

// retention returns what the document of an environment declares, or the
// defaults where there is none.
func (s *State) retention(environment string) document.Retention {
	if r, ok := s.retentions[environment]; ok {
		return r
	}
	return document.DefaultRetention()
}
