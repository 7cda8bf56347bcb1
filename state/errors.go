package state

import (
	"fmt"

	controlv1 "ebonyreel/proto/control/v1"
)

// ConflictError reports that another document was accepted, or that a call with
// another body was recorded, before.
type ConflictError struct {
	// Subject is the requested number, digest or key.
	Subject string
	// Winner is the document that was accepted; nil for an operation.
	Winner *controlv1.Document
}

func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return e.Subject + " is taken by a call with another body"
	}
	return fmt.Sprintf("%s: document %d of %s was accepted first, from %s with digest %.12s",
		e.Subject, e.Winner.GetNumber(), e.Winner.GetEnvironment(), e.Winner.GetSubmitter(), e.Winner.GetDigest())
}

// NotFoundError reports that something is not in the state.
type NotFoundError struct {
	// Subject is the requested object.
	Subject string
}

func (e *NotFoundError) Error() string {
	return e.Subject + " is not known"
}

// NotApprovedError reports that a document has no recorded approval.
type NotApprovedError struct {
	Environment string
	Number      uint64
}

func (e *NotApprovedError) Error() string {
	return fmt.Sprintf("document %d of %s has no recorded approval", e.Number, e.Environment)
}

// StaleIncarnationError reports that a request came from another incarnation of
// a member than the current one.
type StaleIncarnationError struct {
	Name string
	// Current is the current incarnation, and Asked the one in the request.
	Current uint64
	Asked   uint64
}

func (e *StaleIncarnationError) Error() string {
	return fmt.Sprintf("%s runs as incarnation %d, not %d", e.Name, e.Current, e.Asked)
}

// TooManyRecordsError reports that no more records can be kept.
type TooManyRecordsError struct {
	// Subject says which records are kept.
	Subject string
	// Kept is the number of records that are kept.
	Kept int
}

func (e *TooManyRecordsError) Error() string {
	return fmt.Sprintf("%s: %d are open, as many as are kept", e.Subject, e.Kept)
}

// CompactedError reports that requested events are no longer kept.
type CompactedError struct {
	// Compacted is the newest revision whose event is no longer kept.
	Compacted uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("events up to revision %d are gone, list again", e.Compacted)
}

// LevelError reports a running process that does not understand a document.
type LevelError struct {
	// Process is the name of the process.
	Process string
	// Level is the highest level that the process understands, and Needed the
	// level of the document.
	Level  uint32
	Needed uint32
}

func (e *LevelError) Error() string {
	return fmt.Sprintf("Level: process %s understands documents up to level %d, not %d", e.Process, e.Level, e.Needed)
}

// CommandError reports a command of an unknown kind.
type CommandError struct {
	// Kind is the Go type of the command's kind.
	Kind string
}

func (e *CommandError) Error() string {
	return "command " + e.Kind + " is not known"
}
