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

// begin records an operation before its dispatch. If one with the same key and
// body was recorded before, begin returns that record instead; another body
// under the key is a *ConflictError. A record with the outcome "not run" allows
// a new dispatch, but not a repetition of its own. The error is a
// *TooManyRecordsError if as many operations as may be kept have not ended.
func (s *State) begin(now time.Time, o *controlv1.Operation) (proto.Message, error) {
	s.pruneOperations(now, o.GetEnvironment())
	key := operationKey(o)
	old := s.operations[key]
	if old != nil && old.GetBodyDigest() != o.GetBodyDigest() {
		return nil, &ConflictError{Subject: "Idempotency-Key " + o.GetKey()}
	}
	if old != nil && !allowsNewDispatch(old, o) {
		return &controlv1.BeginOperationResponse{Operation: old, Created: repeatsDispatch(old, o)}, nil
	}
	if old == nil {
		keys := s.operationOrder[o.GetEnvironment()]
		if len(keys) >= s.retention(o.GetEnvironment()).OperationsKept {
			return nil, &TooManyRecordsError{Subject: "operations of " + o.GetEnvironment(), Kept: len(keys)}
		}
		s.operationOrder[o.GetEnvironment()] = append(keys, key)
	}
	s.lastNumber++
	next := proto.CloneOf(o)
	next.State = controlv1.OperationState_OPERATION_STATE_STARTED
	next.Number = s.lastNumber
	next.UpdatedAt = timestamppb.New(now)
	s.operations[key] = next
	return &controlv1.BeginOperationResponse{Operation: next, Created: true}, nil
}

// allowsNewDispatch reports whether a record allows another dispatch: it was not
// run, and the request is not a late copy of the recorded dispatch.
func allowsNewDispatch(old, o *controlv1.Operation) bool {
	return old.GetState() == controlv1.OperationState_OPERATION_STATE_NOT_RUN && old.GetDispatch() != o.GetDispatch()
}

// repeatsDispatch reports whether a request repeats the dispatch that made the
// record, because its first answer was lost.
func repeatsDispatch(old, o *controlv1.Operation) bool {
	started := old.GetState() == controlv1.OperationState_OPERATION_STATE_STARTED
	return started && o.GetDispatch() != "" && old.GetDispatch() == o.GetDispatch()
}

// finish records the outcome of the dispatch with a number, and returns the
// current record. A proven outcome is final; an unknown one may be replaced by a
// proven one.
func (s *State) finish(now time.Time, o *controlv1.Operation) (proto.Message, error) {
	key := operationKey(o)
	old := s.operations[key]
	if old == nil {
		return nil, &NotFoundError{Subject: "operation " + o.GetKey()}
	}
	if old.GetNumber() != o.GetNumber() || isProven(old.GetState()) || old.GetState() == o.GetState() {
		return &controlv1.FinishOperationResponse{Operation: old}, nil
	}
	next := proto.CloneOf(o)
	next.BodyDigest, next.Dispatch = old.GetBodyDigest(), old.GetDispatch()
	next.Agent, next.AgentIncarnation = old.GetAgent(), old.GetAgentIncarnation()
	next.UpdatedAt = timestamppb.New(now)
	s.operations[key] = next
	return &controlv1.FinishOperationResponse{Operation: next}, nil
}

func isProven(s controlv1.OperationState) bool {
	return s == controlv1.OperationState_OPERATION_STATE_DONE || s == controlv1.OperationState_OPERATION_STATE_NOT_RUN
}

// pruneOperations deletes the records of an environment that are older than its
// retention and, to stay below the maximum number, the oldest of those that have
// ended. It checks only the oldest records, and moves one that must stay to the
// end of the order.
func (s *State) pruneOperations(now time.Time, environment string) {
	retention := s.retention(environment)
	order := s.operationOrder[environment]
	for range order {
		key := order[0]
		operation := s.operations[key]
		expired := olderThan(operation.GetUpdatedAt().AsTime(), now, time.Duration(retention.Operations))
		if !expired && len(order) < retention.OperationsKept {
			break
		}
		order = order[1:]
		if !expired && operation.GetState() == controlv1.OperationState_OPERATION_STATE_STARTED {
			order = append(order, key)
			continue
		}
		delete(s.operations, key)
	}
	s.operationOrder[environment] = order
}

// retention returns the retention in the document of an environment, or the
// defaults if there is no document.
func (s *State) retention(environment string) document.Retention {
	if r, ok := s.retentions[environment]; ok {
		return r
	}
	return document.DefaultRetention()
}
