package replica

import "fmt"

// NotLeaderError reports that another server leads, or none.
type NotLeaderError struct {
	// Leader is empty while no leader is known.
	Leader string
}

// Error says who leads.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "server " + e.Leader + " leads"
}

// BusyError reports that something has to end first.
type BusyError struct {
	Reason string
}

// Error says what.
func (e *BusyError) Error() string {
	return e.Reason
}

// NotSyncedError reports a learner whose copy is not complete.
type NotSyncedError struct {
	ID string
}

// Error names the learner.
func (e *NotSyncedError) Error() string {
	return "server " + e.ID + " does not have all committed entries yet"
}

// NoHeirError reports that no other voter can take over.
type NoHeirError struct{}

// Error says so.
func (*NoHeirError) Error() string {
	return "no other voter was heard lately"
}

// InvariantError reports a leader that would overwrite committed entries.
type InvariantError struct {
	Index  uint64
	Commit uint64
}

// Error names the entry.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("entry %d would be overwritten, and entries up to %d are committed", e.Index, e.Commit)
}
