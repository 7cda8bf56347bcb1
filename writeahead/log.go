// Package writeahead stores the durable state of a replica in one folder: a
// snapshot, and a segment of checksummed records after it.
//
// Records are written and synced in batches. Each record carries the length of
// the segment that was known to be synced when it was written. This tells a torn
// tail from corruption: damage to records that were never synced is cut off,
// damage to synced records is an error. The length synced last is also kept in a
// file of its own. This follows R. Alagappan et al., "Protocol-Aware Recovery
// for Consensus-Based Storage", FAST 2018.
//
// After a failed sync the state of the disk is unknown, and the process must
// end: A. Rebello et al., "Can Applications Recover from fsync Failures?",
// USENIX ATC 2020.
package writeahead

import (
	"crypto/rand"
	"io"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"

	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	segmentFile  = "segment"
	snapshotFile = "snapshot"
	// syncedLengthFile holds the length of the segment that is synced.
	syncedLengthFile = "synced"
	// asideFolder holds the files that SetAside moved.
	asideFolder = "lost"
	// newSuffix ends the name of the copy that is to replace a file.
	newSuffix  = ".new"
	folderMode = 0o700
	fileMode   = 0o600
)

// Content is the state that a folder holds.
type Content struct {
	// ID identifies the server that the folder belongs to.
	ID string
	// State is nil before the first one is saved.
	State *replicav1.HardState
	// Snapshot is nil before the first one is saved.
	Snapshot *replicav1.Snapshot
	// Entries are contiguous. The first is one after the snapshot.
	Entries []*replicav1.Entry
}

// Log appends to the segment of a folder and saves its snapshots. It is not safe
// for concurrent use, except as SaveSnapshot says.
type Log struct {
	// folder is used by this process only.
	folder Folder
	// id is the server ID.
	id string
	// file is the segment.
	file File
	// lengthFile is the file of the synced length; nil until the first segment
	// is open.
	lengthFile File
	// size is the length of the segment, in bytes.
	size int64
	// synced is the length of the segment that is known to be synced, in bytes.
	synced int64
	// batch is the buffer for the records of one Save or ReplaceSegment.
	batch []byte
}

// Open reads a folder. A torn tail of the segment is cut off, and copies that a
// crash left are deleted. A folder without a segment gets a new server ID; a snapshot
// in it is set aside. The error is a *CorruptionError if synced data is damaged, or a
// *DiskFullError, after which Open may be called again.
func Open(folder Folder) (*Log, *Content, error) {
	if err := os.MkdirAll(folder.Path, folderMode); err != nil {
		return nil, nil, decorate(err, "create data folder")
	}
	for _, file := range []string{segmentFile, snapshotFile} {
		if err := folder.remove(file + newSuffix); err != nil {
			return nil, nil, err
		}
	}
	c, size, err := readFolder(folder.Path)
	if err != nil {
		return nil, nil, err
	}
	l := &Log{folder: folder, id: c.ID}
	if c.ID == "" {
		c.ID = rand.Text()
		l.id = c.ID
		err = l.begin()
	} else {
		err = l.resume(size)
	}
	if err != nil {
		l.closeFiles()
		return nil, nil, err
	}
	return l, c, nil
}

// begin sets the files of the folder aside, and starts its first segment.
func (l *Log) begin() error {
	if err := SetAside(l.folder); err != nil {
		return err
	}
	return l.ReplaceSegment(nil, nil)
}

// resume opens the segment for appending after its first size bytes, and cuts
// off the rest.
func (l *Log) resume(size int64) error {
	f, err := l.folder.files().Open(l.folder.path(segmentFile), os.O_WRONLY, fileMode)
	if err != nil {
		return errorx.Decorate(err, "open segment")
	}
	l.file = f
	if err := f.Truncate(size); err != nil {
		return decorate(err, "cut torn tail")
	}
	if _, err := f.Seek(size, io.SeekStart); err != nil {
		return errorx.Decorate(err, "seek to end of segment")
	}
	return l.useSegment(f, size)
}

// useSegment syncs a segment of size bytes, and makes it the one that Save
// appends to.
func (l *Log) useSegment(f File, size int64) error {
	if l.file != nil && l.file != f {
		_ = l.file.Close()
	}
	l.file = f
	if err := f.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	if l.lengthFile == nil {
		file, err := l.folder.files().Open(l.folder.path(syncedLengthFile), os.O_CREATE|os.O_RDWR, fileMode)
		if err != nil {
			return decorate(err, "open file of the synced length")
		}
		l.lengthFile = file
	}
	l.size, l.synced = size, size
	return l.writeSyncedLength()
}

// Save appends a term and vote, unless state is nil, and entries as one batch,
// and syncs once. The error is a *DiskFullError, after which Save may be called
// again with the same arguments, or a *SyncError, after which the process must
// end.
func (l *Log) Save(state *replicav1.HardState, entries []*replicav1.Entry) error {
	l.batch = l.batch[:0]
	if err := l.encodeBatch(state, entries); err != nil {
		return err
	}
	if _, err := l.file.Write(l.batch); err != nil {
		return l.discardBatch(err)
	}
	if err := l.file.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	l.size += int64(len(l.batch))
	l.synced = l.size
	return l.writeSyncedLength()
}

// discardBatch cuts off the part of a batch that a write wrote before the disk
// was full. Any other cause makes it return a *SyncError.
func (l *Log) discardBatch(cause error) error {
	if !isDiskFull(cause) {
		return &SyncError{Cause: cause}
	}
	if err := l.file.Truncate(l.size); err != nil {
		return &SyncError{Cause: err}
	}
	if _, err := l.file.Seek(l.size, io.SeekStart); err != nil {
		return &SyncError{Cause: err}
	}
	return &DiskFullError{Cause: cause}
}

// encodeBatch appends the records of a term and vote and of entries to batch.
func (l *Log) encodeBatch(state *replicav1.HardState, entries []*replicav1.Entry) error {
	var err error
	if state != nil {
		r := &replicav1.Record{Kind: &replicav1.Record_State{State: state}}
		if l.batch, err = appendRecord(l.batch, r, l.synced); err != nil {
			return err
		}
	}
	for _, e := range entries {
		r := &replicav1.Record{Kind: &replicav1.Record_Entry{Entry: e}}
		if l.batch, err = appendRecord(l.batch, r, l.synced); err != nil {
			return err
		}
	}
	return nil
}

// Compact saves a snapshot, and then begins a new segment with the entries that
// are still needed. After a *DiskFullError the old segment stays in use.
func (l *Log) Compact(s *replicav1.Snapshot, state *replicav1.HardState, entries []*replicav1.Entry) error {
	if err := l.SaveSnapshot(s); err != nil {
		return err
	}
	return l.ReplaceSegment(state, entries)
}

// ReplaceSegment atomically replaces the segment by a new one that holds the
// server ID, a term and vote, and entries. The entries must include all after the
// saved snapshot; Open skips those that the snapshot covers.
func (l *Log) ReplaceSegment(state *replicav1.HardState, entries []*replicav1.Entry) error {
	synced := l.synced
	l.synced = 0
	identity := &replicav1.Record{Kind: &replicav1.Record_Id{Id: l.id}}
	b, err := appendRecord(nil, identity, 0)
	if err != nil {
		return err
	}
	l.batch = b
	if err := l.encodeBatch(state, entries); err != nil {
		return err
	}
	// The synced length of the old segment must not be read as that of the new
	// one.
	if l.lengthFile != nil {
		if err := l.clearSyncedLength(); err != nil {
			l.synced = synced
			return err
		}
	}
	if err := l.folder.replace(segmentFile, l.batch); err != nil {
		l.synced = synced
		return err
	}
	f, err := l.folder.files().Open(l.folder.path(segmentFile), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errorx.Decorate(err, "open segment")
	}
	return l.useSegment(f, int64(len(l.batch)))
}

// SaveSnapshot atomically replaces the snapshot. It may run concurrently with
// Save, but not with another SaveSnapshot. The old segment is still needed until
// ReplaceSegment replaces it.
func (l *Log) SaveSnapshot(s *replicav1.Snapshot) error {
	b, err := encodeSnapshot(l.id, s)
	if err != nil {
		return err
	}
	return l.folder.replace(snapshotFile, b)
}

// Close closes the files of the log.
func (l *Log) Close() error {
	_ = l.lengthFile.Sync()
	_ = l.lengthFile.Close()
	if err := l.file.Close(); err != nil {
		return errorx.Decorate(err, "close segment")
	}
	return nil
}

// closeFiles closes the files that a failed Open has opened.
func (l *Log) closeFiles() {
	if l.file != nil {
		_ = l.file.Close()
	}
	if l.lengthFile != nil {
		_ = l.lengthFile.Close()
	}
}

// SetAside moves the files of a folder into a folder in it, so that Open finds an
// empty folder. Files that were set aside before are deleted. After a *DiskFullError
// Open may be called, as it moves what is left.
func SetAside(f Folder) error {
	if err := os.RemoveAll(f.path(asideFolder)); err != nil {
		return errorx.Decorate(err, "delete files set aside before")
	}
	if err := f.files().Mkdir(f.path(asideFolder), folderMode); err != nil {
		return decorate(err, "create folder for files set aside")
	}
	// The segment is moved first: without it Open uses none of the other files.
	for _, file := range []string{segmentFile, snapshotFile, syncedLengthFile} {
		err := f.files().Rename(f.path(file), filepath.Join(f.path(asideFolder), file))
		if err != nil && !os.IsNotExist(err) {
			return decorate(err, "set %s aside", file)
		}
	}
	return f.sync()
}
