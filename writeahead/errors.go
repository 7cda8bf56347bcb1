package writeahead

// RotError reports that something is damaged that was once synced. The host
// must not vote with what is left of it.
type RotError struct {
	File   string
	Reason string
}

// Error says what is damaged.
func (e *RotError) Error() string {
	return "data folder: " + e.File + ": " + e.Reason
}

// FullError reports a disk that took no more bytes. Nothing of the batch counts,
// and it may be written again.
type FullError struct {
	Cause error
}

// Error names the cause.
func (e *FullError) Error() string {
	return "disk is full: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *FullError) Unwrap() error {
	return e.Cause
}

// SyncError reports a write or sync that failed. What is on the disk is
// unknown, so the process must end.
type SyncError struct {
	Cause error
}

// Error names the cause.
func (e *SyncError) Error() string {
	return "sync of the disk failed: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *SyncError) Unwrap() error {
	return e.Cause
}
