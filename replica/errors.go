package replica

import "fmt"

// NotLeaderError reports that this server does not lead, or has begun to
// transfer its leadership.
type NotLeaderError struct {
	// Leader is the ID of the leader; empty while no leader is known.
	Leader string
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "no leader is known"
	}
	return "server " + e.Leader + " leads"
}

// BusyError reports that a request cannot be carried out now.
type BusyError struct {
	// Reason says what stands in the way.
	Reason string
}

// Error returns the reason.
func (e *BusyError) Error() string {
	return e.Reason
}

// NotSyncedError reports that a server cannot be promoted yet, because it does
// not have all committed entries or was not heard within the election timeout.
type NotSyncedError struct {
	// ID identifies the server.
	ID string
}

// Error names the server.
func (e *NotSyncedError) Error() string {
	return "server " + e.ID + " does not have all committed entries yet"
}

// NoTransferTargetError reports that no other voter can take over the leadership.
type NoTransferTargetError struct{}

// Error says why the leadership cannot be transferred.
func (*NoTransferTargetError) Error() string {
	return "no other voter was heard lately"
}

// InvariantError reports that a leader sent entries that conflict with
// committed ones.
type InvariantError struct {
	// Index is the first entry that conflicts.
	Index uint64
	// Commit is the newest entry known to be committed.
	Commit uint64
}

// Error names the conflicting entry.
func (e *InvariantError) Error() string {
	return fmt.Sprintf("entry %d would be overwritten, but entries up to %d are committed", e.Index, e.Commit)
}
