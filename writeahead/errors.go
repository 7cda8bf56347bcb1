package writeahead

// CorruptionError reports damage to data that was synced. The host must not
// vote with the data that is left.
type CorruptionError struct {
	// File is the name of the damaged file in the data folder.
	File string
	// Reason says what is wrong with it.
	Reason string
}

// Error names the file and what is wrong with it.
func (e *CorruptionError) Error() string {
	return "data folder: " + e.File + ": " + e.Reason
}

// DiskFullError reports that the disk is full. Nothing of the batch or file was
// kept, and it may be written again.
type DiskFullError struct {
	Cause error
}

// Error names the cause.
func (e *DiskFullError) Error() string {
	return "disk is full: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DiskFullError) Unwrap() error {
	return e.Cause
}

// SyncError reports a failed write or sync. The content of the disk is unknown,
// so the process must end.
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
