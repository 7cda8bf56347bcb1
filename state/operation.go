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
// try.
func (s *State) begin(now time.Time, o *controlv1.Operation) (proto.Message, error) {
	s.forget(now, o.GetEnvironment())
	key := operationKey(o)
	if old := s.operations[key]; old != nil {
		if old.GetBodyDigest() != o.GetBodyDigest() {
			return nil, &ConflictError{Subject: "Idempotency-Key " + o.GetKey()}
		}
		if old.GetState() != controlv1.OperationState_OPERATION_STATE_NOT_RUN {
			return &controlv1.BeginOperationResponse{Operation: old, Created: reopened(old, o)}, nil
		}
	} else {
		s.order = append(s.order, key)
	}
	next := proto.CloneOf(o)
	next.State = controlv1.OperationState_OPERATION_STATE_STARTED
	next.UpdatedAt = timestamppb.New(now)
	s.operations[key] = next
	return &controlv1.BeginOperationResponse{Operation: next, Created: true}, nil
}

// reopened reports whether a record was made by the very dispatch that asks
// again because its first answer was lost.
func reopened(old, o *controlv1.Operation) bool {
	started := old.GetState() == controlv1.OperationState_OPERATION_STATE_STARTED
	return started && o.GetDispatch() != "" && old.GetDispatch() == o.GetDispatch()
}

// finish records the outcome of the dispatch that began under the same agent
// incarnation and entry. The first outcome stays.
func (s *State) finish(now time.Time, o *controlv1.Operation) (proto.Message, error) {
	key := operationKey(o)
	old := s.operations[key]
	if old == nil {
		return nil, &NotFoundError{Subject: "operation " + o.GetKey()}
	}
	if old.GetAgent() != o.GetAgent() || old.GetAgentIncarnation() != o.GetAgentIncarnation() {
		return nil, &StaleError{Name: old.GetAgent(), Current: old.GetAgentIncarnation(), Asked: o.GetAgentIncarnation()}
	}
	if old.GetState() != controlv1.OperationState_OPERATION_STATE_STARTED {
		return &controlv1.FinishOperationResponse{Operation: old}, nil
	}
	next := proto.CloneOf(o)
	next.BodyDigest = old.GetBodyDigest()
	next.UpdatedAt = timestamppb.New(now)
	s.operations[key] = next
	return &controlv1.FinishOperationResponse{Operation: next}, nil
}

// forget drops the oldest records beyond the retention of the environment's
// document. A record that is still open stays.
func (s *State) forget(now time.Time, environment string) {
	keep := s.retention(environment)
	for len(s.order) > 0 {
		o := s.operations[s.order[0]]
		open := o.GetState() == controlv1.OperationState_OPERATION_STATE_STARTED
		old := before(o.GetUpdatedAt().AsTime(), now, time.Duration(keep.Operations))
		if open || !old && len(s.order) < keep.OperationsKept {
			return
		}
		delete(s.operations, s.order[0])
		s.order = s.order[1:]
	}
}

// retention returns what the document of an environment declares, or the
// defaults where there is none.
func (s *State) retention(environment string) document.Retention {
	if r, ok := s.retentions[environment]; ok {
		return r
	}
	return document.DefaultRetention()
}
