package control

import (
	"errors"
	"net/netip"

	"connectrpc.com/connect"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/state"
)

// ClosedError reports that the store is closed because the process is stopping.
type ClosedError struct{}

func (*ClosedError) Error() string {
	return "control is stopping"
}

// NotLeaderError reports that this control host does not lead, or no longer does.
type NotLeaderError struct {
	// Address is the leader's address; the zero value if none is known.
	Address netip.AddrPort
}

func (e *NotLeaderError) Error() string {
	if !e.Address.IsValid() {
		return "no control host leads"
	}
	return "the control host at " + e.Address.String() + " leads"
}

// LeaderChangedError reports that another control host has begun to lead during a call.
type LeaderChangedError struct {
	// Former is the address of the leader that was called.
	Former netip.AddrPort
}

func (e *LeaderChangedError) Error() string {
	return "the control host at " + e.Former.String() + " no longer leads"
}

// NotReadyError reports that too few control hosts are voters to accept the
// first command.
type NotReadyError struct{}

func (*NotReadyError) Error() string {
	return "less than a quorum of the listed control hosts has joined"
}

// NoContactError reports that the host has had no contact with a leader within
// leaderContactTimeout, or has been behind it for as long.
type NoContactError struct{}

func (*NoContactError) Error() string {
	return "this control host is not in touch with a leader, or is behind it"
}

// UnknownHostError reports a host that asks to join but is not listed in the
// setting Cluster.
type UnknownHostError struct {
	Name string
}

func (e *UnknownHostError) Error() string {
	return "control host " + e.Name + " is not in the list Cluster"
}

// toConnectError returns the Connect error of an error, with a
// *controlv1.Refusal as its detail.
func toConnectError(err error) error {
	code, detail := classify(err)
	detail.Reason = err.Error()
	out := connect.NewError(code, err)
	if d, e := connect.NewErrorDetail(detail); e == nil {
		out.AddDetail(d)
	}
	return out
}

// classify returns the status code of an error and its refusal, whose reason is
// left empty.
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
	var stale *state.StaleIncarnationError
	if errors.As(err, &stale) {
		return connect.CodeFailedPrecondition, &controlv1.Refusal{Code: controlv1.Refusal_CODE_STALE}
	}
	var compacted *state.CompactedError
	if errors.As(err, &compacted) {
		return connect.CodeOutOfRange, &controlv1.Refusal{Code: controlv1.Refusal_CODE_COMPACTED}
	}
	var part *PartError
	if errors.As(err, &part) {
		return connect.CodeFailedPrecondition, &controlv1.Refusal{}
	}
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		r := &controlv1.Refusal{Code: controlv1.Refusal_CODE_NOT_LEADER}
		if notLeader.Address.IsValid() {
			r.LeaderAddress = notLeader.Address.String()
		}
		return connect.CodeUnavailable, r
	}
	var full *state.TooManyRecordsError
	if errors.As(err, &full) {
		return connect.CodeResourceExhausted, &controlv1.Refusal{Code: controlv1.Refusal_CODE_FULL}
	}
	return connect.CodeUnavailable, &controlv1.Refusal{}
}
