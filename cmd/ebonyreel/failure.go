package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"connectrpc.com/connect"

	"ebonyreel/controls"
	"ebonyreel/document"
	"ebonyreel/faults"
	controlv1 "ebonyreel/proto/control/v1"
)

// Exit codes; the long help lists them.
const (
	exitDone = iota
	exitFailed
	exitInvalid
	exitConflict
	exitNotFound
	exitNotApproved
	exitUnauthorized
)

// failure is what is printed of an error.
type failure struct {
	// Error says what happened, and Advice what to do.
	Error  string
	Advice string         `json:",omitempty"`
	Faults []faults.Fault `json:",omitempty"`
	// ExitCode is that of the command.
	ExitCode int
}

// exitCode maps an error to the documented exit codes.
func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	return describeError(err).ExitCode
}

// describeError finds out what an error means for an operator.
func describeError(err error) failure {
	var check *document.CheckError
	if errors.As(err, &check) {
		return failure{Error: "the document is wrong", Advice: "mend the fields and check it again", Faults: check.Faults, ExitCode: exitInvalid}
	}
	var usage *UsageError
	if errors.As(err, &usage) {
		return failure{Error: usage.Error(), Advice: "ebonyreel help lists flags and arguments", ExitCode: exitInvalid}
	}
	var none *NoDocumentError
	var process *UnknownProcessError
	var request *UnknownRequestError
	if errors.As(err, &none) || errors.As(err, &process) || errors.As(err, &request) {
		return failure{Error: err.Error(), ExitCode: exitNotFound}
	}
	if r := controls.Reason(err); r.GetReason() != "" {
		return describeRefusal(r)
	}
	return describeConnectError(err)
}

// describeRefusal describes a typed refusal of control.
func describeRefusal(r *controlv1.Refusal) failure {
	out := failure{Error: r.GetReason(), ExitCode: exitFailed}
	switch r.GetCode() {
	case controlv1.Refusal_CODE_NOT_UNDERSTOOD:
		out.Advice, out.ExitCode = "mend the document, or update the process that is named, and submit again", exitInvalid
	case controlv1.Refusal_CODE_CONFLICT:
		out.Advice, out.ExitCode = "look at the document in force with ebonyreel document diff, and submit with a higher Number", exitConflict
	case controlv1.Refusal_CODE_NOT_FOUND:
		out.Advice, out.ExitCode = "ebonyreel document history lists the numbers and digests that are kept", exitNotFound
	case controlv1.Refusal_CODE_NOT_APPROVED:
		out.Advice, out.ExitCode = "have it approved with ebonyreel document approve first", exitNotApproved
	case controlv1.Refusal_CODE_STALE:
		out.Advice = "the process was started again meanwhile; look at ebonyreel status"
	case controlv1.Refusal_CODE_NOT_LEADER:
		out.Advice = "the control hosts have no leader yet; try again, and see that a majority of them runs"
	}
	return out
}

// describeConnectError describes an error without a typed refusal.
func describeConnectError(err error) failure {
	out := failure{Error: err.Error(), ExitCode: exitFailed}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		out.Advice = "see that the addresses of --controls are right and that a majority of the control hosts runs; a document sent again with its number is accepted once"
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		out.Advice, out.ExitCode = "name the file of an operator's key with --key", exitUnauthorized
	}
	return out
}

// printFailure writes a failure in the form of output that was asked for.
func printFailure(w io.Writer, output string, err error) {
	f := describeError(err)
	if output == jsonOutput {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(f)
		return
	}
	_, _ = fmt.Fprintln(w, "failed:", f.Error)
	for _, v := range f.Faults {
		_, _ = fmt.Fprintln(w, " ", v)
	}
	if f.Advice != "" {
		_, _ = fmt.Fprintln(w, "what to do:", f.Advice)
	}
}
