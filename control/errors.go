package control

import (
	"errors"
	"net/netip"

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

// NotLeaderError reports that another control host has to answer.
type NotLeaderError struct {
	// Address is where the leader is reached; the zero value while none is
	// known.
	Address netip.AddrPort
}

// Error says who leads.
func (e *NotLeaderError) Error() string {
	if !e.Address.IsValid() {
		return "no control host leads"
	}
	return "the control host at " + e.Address.String() + " leads"
}

// NotReadyError reports that too few control hosts have joined.
type NotReadyError struct{}

// Error says so.
func (*NotReadyError) Error() string {
	return "less than a quorum of the listed control hosts has joined"
}

// CutOffError reports that the host has had no sign of a leader for long.
type CutOffError struct{}

// Error says so.
func (*CutOffError) Error() string {
	return "this control host is not in touch with a leader"
}

// UnknownHostError reports a host that is not in the list of control hosts.
type UnknownHostError struct {
	Name string
}

// Error names the host.
func (e *UnknownHostError) Error() string {
	return "control host " + e.Name + " is not in the list Cluster"
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
	var elsewhere *NotLeaderError
	if errors.As(err, &elsewhere) {
		r := &controlv1.Refusal{Code: controlv1.Refusal_CODE_NOT_LEADER}
		if elsewhere.Address.IsValid() {
			r.LeaderAddress = elsewhere.Address.String()
		}
		return connect.CodeUnavailable, r
	}
	var full *state.FullError
	if errors.As(err, &full) {
		return connect.CodeResourceExhausted, &controlv1.Refusal{Code: controlv1.Refusal_CODE_FULL}
	}
	return connect.CodeUnavailable, &controlv1.Refusal{}
}
