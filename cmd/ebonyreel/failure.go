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
	"ebonyreel/platform"
	controlv1 "ebonyreel/proto/control/v1"
)

// Exit codes of the command. The long help documents them.
const (
	exitDone = iota
	exitFailed
	exitInvalid
	exitConflict
	exitNotFound
	exitNotApproved
	exitUnauthorized
)

// failure is an error as it is printed for an operator.
type failure struct {
	// Error states what happened, and Advice what to do about it.
	Error  string
	Advice string         `json:",omitempty"`
	Faults []faults.Fault `json:",omitempty"`
	// ExitCode is the exit code of the command.
	ExitCode int
}

// exitCode returns the documented exit code for an error or nil.
func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	return describeError(err).ExitCode
}

// describeError maps an error to its text, advice and exit code.
func describeError(err error) failure {
	var check *document.CheckError
	if errors.As(err, &check) {
		return failure{Error: "the document is invalid", Advice: "correct the fields and check the document again", Faults: check.Faults, ExitCode: exitInvalid}
	}
	var configuration *platform.ConfigurationError
	if errors.As(err, &configuration) {
		return failure{Error: configuration.Error(), Advice: "correct the configuration and check it again", ExitCode: exitInvalid}
	}
	var usage *UsageError
	if errors.As(err, &usage) {
		return failure{Error: usage.Error(), Advice: "ebonyreel help lists flags and arguments", ExitCode: exitInvalid}
	}
	var unknownDocument *UnknownDocumentError
	var unknownProcess *UnknownProcessError
	var unknownRequest *UnknownRequestError
	if errors.As(err, &unknownDocument) || errors.As(err, &unknownProcess) || errors.As(err, &unknownRequest) {
		return failure{Error: err.Error(), ExitCode: exitNotFound}
	}
	if r := controls.RefusalFrom(err); r.GetReason() != "" {
		return describeRefusal(r)
	}
	return describeConnectError(err)
}

// describeRefusal describes a typed refusal from control.
func describeRefusal(r *controlv1.Refusal) failure {
	out := failure{Error: r.GetReason(), ExitCode: exitFailed}
	switch r.GetCode() {
	case controlv1.Refusal_CODE_NOT_UNDERSTOOD:
		out.Advice, out.ExitCode = "correct the document, or upgrade the process that is named, and submit again", exitInvalid
	case controlv1.Refusal_CODE_CONFLICT:
		out.Advice, out.ExitCode = "compare with the document in force with ebonyreel document diff, and submit with a higher Number", exitConflict
	case controlv1.Refusal_CODE_NOT_FOUND:
		out.Advice, out.ExitCode = "ebonyreel document history lists the numbers and digests that are kept", exitNotFound
	case controlv1.Refusal_CODE_NOT_APPROVED:
		out.Advice, out.ExitCode = "have it approved with ebonyreel document approve first", exitNotApproved
	case controlv1.Refusal_CODE_STALE:
		out.Advice = "the process was restarted in the meantime; check ebonyreel status"
	case controlv1.Refusal_CODE_NOT_LEADER:
		out.Advice = "the control hosts have no leader yet; try again, and check that a majority of them is running"
	}
	return out
}

// describeConnectError describes an error that carries no typed refusal, by its
// Connect code.
func describeConnectError(err error) failure {
	out := failure{Error: err.Error(), ExitCode: exitFailed}
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded:
		out.Advice = "check that the addresses of --controls are right and that a majority of the control hosts is running; a document sent again with its number is accepted only once"
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		out.Advice, out.ExitCode = "set --key to a file with an operator's key", exitUnauthorized
	}
	return out
}

// printFailure writes an error in an output format.
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
