package control

import (
	"errors"

	"connectrpc.com/connect"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

// ClosedError reports that the process is stopping.
type ClosedError struct{}

// Error says so.
func (*ClosedError) Error() string {
	return "control is stopping"
}

// refuse turns an error into one that travels, with a typed refusal.
func refuse(err error) error {
	code, detail := classify(err)
	detail.Reason = err.Error()
	out := connect.NewError(code, err)
	if d, e := connect.NewErrorDetail(detail); e == nil {
		out.AddDetail(d)
	}
	return out
}

func classify(err error) (connect.Code, *controlv1.Refusal) {
	var check *document.CheckError
	var level *state.LevelError
	if errors.As(err, &check) || errors.As(err, &level) {
		return connect.CodeInvalidArgument, &controlv1.Refusal{Code: controlv1.Refusal_CODE_NOT_UNDERSTOOD}
	}
	var conflict *state.ConflictError
	if errors.As(err, &conflict) {
		return connect.CodeAlreadyExists, &controlv1.Refusal{Code: controlv1.Refusal_CODE_CONFLICT, Winner: conflict.Winner}
	}
	var missing *state.NotFoundError
	if errors.As(err, &missing) {
		return connect.CodeNotFound, &controlv1.Refusal{Code: controlv1.Refusal_CODE_NOT_FOUND}
	}
	var unapproved *state.NotApprovedError
	if errors.As(err, &unapproved) {
		return connect.CodeFailedPrecondition, &controlv1.Refusal{Code: controlv1.Refusal_CODE_NOT_APPROVED}
	}
	var stale *state.StaleError
	if errors.As(err, &stale) {
		return connect.CodeFailedPrecondition, &controlv1.Refusal{Code: controlv1.Refusal_CODE_STALE}
	}
	var compacted *state.CompactedError
	if errors.As(err, &compacted) {
		return connect.CodeOutOfRange, &controlv1.Refusal{Code: controlv1.Refusal_CODE_COMPACTED}
	}
	return connect.CodeUnavailable, &controlv1.Refusal{}
}
