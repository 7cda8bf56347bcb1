package state

import (
	"fmt"

	controlv1 "ebonyreel/proto/control/v1"
)

// ConflictError reports that another document or operation came first.
type ConflictError struct {
	// Subject is the number or key that was asked for.
	Subject string
	// Winner is the document in its place; it is nil for an operation.
	Winner *controlv1.Document
}

// Error says what came first.
func (e *ConflictError) Error() string {
	if e.Winner == nil {
		return e.Subject + " is taken by a call with another body"
	}
	return fmt.Sprintf("%s: document %d of %s was accepted first, from %s with digest %.12s",
		e.Subject, e.Winner.GetNumber(), e.Winner.GetEnvironment(), e.Winner.GetSubmitter(), e.Winner.GetDigest())
}

// NotFoundError reports that something is not in the state.
type NotFoundError struct {
	// Subject is what was asked for.
	Subject string
}

// Error says what was asked for.
func (e *NotFoundError) Error() string {
	return e.Subject + " is not known"
}

// NotApprovedError reports that a document has no recorded approval.
type NotApprovedError struct {
	Environment string
	Number      uint64
}

// Error says which document.
func (e *NotApprovedError) Error() string {
	return fmt.Sprintf("document %d of %s has no recorded approval", e.Number, e.Environment)
}

// StaleError reports that a newer incarnation has taken a name.
type StaleError struct {
	Name string
	// Current is the incarnation in force, and Asked the one refused.
	Current uint64
	Asked   uint64
}

// Error says which incarnation is in force.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%s runs as incarnation %d, not %d", e.Name, e.Current, e.Asked)
}

// FullError reports that nothing more can be kept.
type FullError struct {
	// Subject is what is kept.
	Subject string
	Kept    int
}

// Error says how much is kept.
func (e *FullError) Error() string {
	return fmt.Sprintf("%s: %d are open, as many as are kept", e.Subject, e.Kept)
}

// CompactedError reports that the events asked for are no longer kept.
type CompactedError struct {
	// Compacted is the newest revision that is gone.
	Compacted uint64
}

// Error says what to do.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("events up to revision %d are gone, list again", e.Compacted)
}

// LevelError reports a process that does not understand a document.
type LevelError struct {
	// Process is the name of the process.
	Process string
	// Level is what it understands, and Needed what the document asks for.
	Level  uint32
	Needed uint32
}

// Error names the process and the field.
func (e *LevelError) Error() string {
	return fmt.Sprintf("Level: process %s understands documents up to level %d, not %d", e.Process, e.Level, e.Needed)
}

// CommandError reports a command of an unknown kind.
type CommandError struct {
	Kind string
}

// Error names the kind.
func (e *CommandError) Error() string {
	return "command " + e.Kind + " is not known"
}
