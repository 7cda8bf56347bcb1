// Package writeahead keeps what a replica must not forget under one folder: a
// snapshot, and a segment of checksummed records after it.
//
// Many records are written and synced as one batch. Each record carries the
// length of the segment that was known to be synced when it was written, so
// that a damaged record can be told apart: what was never synced is a torn
// tail and is cut; what was synced is rot, which is an error. The length
// synced last is also kept beside the segment. This follows R. Alagappan et
// al., "Protocol-Aware Recovery for Consensus-Based Storage", FAST 2018. After
// a failed sync the state of the disk is unknown, and the process must end: A.
// Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC
// 2020.
package writeahead

import (
	"crypto/rand"
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/joomcode/errorx"

	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	segmentFile  = "segment"
	snapshotFile = "snapshot"
	markFile     = "synced"
	// lostFolder keeps what was set aside because of rot.
	lostFolder = "lost"
	folderMode = 0o700
	fileMode   = 0o600
)

// File is a file that can be synced.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Truncate(size int64) error
	Seek(offset int64, whence int) (int64, error)
	Close() error
}

// Content is what a folder holds.
type Content struct {
	// ID is the server that the folder belongs to.
	ID string
	// State is nil before the first one is saved.
	State *replicav1.HardState
	// Snapshot is nil before the first one is saved.
	Snapshot *replicav1.Snapshot
	// Entries are contiguous and begin at most one after the snapshot.
	Entries []*replicav1.Entry
}

// Log writes to a folder. It is not safe for concurrent use.
type Log struct {
	// folder belongs to this process alone.
	folder string
	id     string
	file   File
	mark   *os.File
	// size is the length of the segment, and synced the part on the disk.
	size   int64
	synced int64
	batch  []byte
}

// Open reads a folder, or makes a new identity in an empty one. A torn tail is
// cut. The error is a *RotError when a synced record is damaged.
func Open(folder string) (*Log, *Content, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, nil, errorx.Decorate(err, "make data folder")
	}
	c, size, err := read(folder)
	if err != nil {
		return nil, nil, err
	}
	j := &Log{folder: folder, id: c.ID}
	if c.ID == "" {
		if err := SetAside(folder); err != nil {
			return nil, nil, err
		}
		c.ID = rand.Text()
		j.id = c.ID
		return j, c, j.Begin(nil, nil)
	}
	return j, c, j.resume(size)
}

// resume opens the segment for more records after its first size bytes.
func (j *Log) resume(size int64) error {
	f, err := os.OpenFile(filepath.Join(j.folder, segmentFile), os.O_WRONLY, fileMode)
	if err != nil {
		return errorx.Decorate(err, "open segment")
	}
	if err := f.Truncate(size); err != nil {
		return errorx.Decorate(err, "cut torn tail")
	}
	if _, err := f.Seek(size, 0); err != nil {
		return errorx.Decorate(err, "find end of segment")
	}
	return j.adopt(f, size)
}

// adopt goes on with a segment of a size, once all of it is on the disk.
func (j *Log) adopt(f *os.File, size int64) error {
	if err := f.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	if j.mark == nil {
		m, err := os.OpenFile(filepath.Join(j.folder, markFile), os.O_CREATE|os.O_RDWR, fileMode)
		if err != nil {
			return errorx.Decorate(err, "open mark")
		}
		j.mark = m
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.size, j.synced = f, size, size
	return j.writeMark()
}

// Save writes a term and vote and entries as one batch, and syncs the disk
// once. The error is a *FullError, after which the same may be saved again, or a
// *SyncError, after which the process must end.
func (j *Log) Save(state *replicav1.HardState, entries []*replicav1.Entry) error {
	j.batch = j.batch[:0]
	if err := j.collect(state, entries); err != nil {
		return err
	}
	if _, err := j.file.Write(j.batch); err != nil {
		return j.undo(err)
	}
	if err := j.file.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	j.size += int64(len(j.batch))
	j.synced = j.size
	return j.writeMark()
}

// undo cuts off what a failed write may have left of a batch.
func (j *Log) undo(cause error) error {
	if !errors.Is(cause, syscall.ENOSPC) {
		return &SyncError{Cause: cause}
	}
	if err := j.file.Truncate(j.size); err != nil {
		return &SyncError{Cause: err}
	}
	if _, err := j.file.Seek(j.size, io.SeekStart); err != nil {
		return &SyncError{Cause: err}
	}
	return &FullError{Cause: cause}
}

func (j *Log) collect(state *replicav1.HardState, entries []*replicav1.Entry) error {
	var err error
	if state != nil {
		r := &replicav1.Record{Kind: &replicav1.Record_State{State: state}}
		if j.batch, err = appendRecord(j.batch, r, j.synced); err != nil {
			return err
		}
	}
	for _, e := range entries {
		r := &replicav1.Record{Kind: &replicav1.Record_Entry{Entry: e}}
		if j.batch, err = appendRecord(j.batch, r, j.synced); err != nil {
			return err
		}
	}
	return nil
}

// Compact saves a snapshot, and then begins a new segment with the entries
// that are still needed. After a *FullError the old segment goes on.
func (j *Log) Compact(s *replicav1.Snapshot, state *replicav1.HardState, entries []*replicav1.Entry) error {
	if err := j.SaveSnapshot(s); err != nil {
		return err
	}
	return j.Begin(state, entries)
}

// Begin puts a new segment with the entries after a saved snapshot in the place
// of the old one, all or nothing.
func (j *Log) Begin(state *replicav1.HardState, entries []*replicav1.Entry) error {
	j.synced = 0
	first := &replicav1.Record{Kind: &replicav1.Record_Id{Id: j.id}}
	b, err := appendRecord(nil, first, 0)
	if err != nil {
		return err
	}
	j.batch = b
	if err := j.collect(state, entries); err != nil {
		return err
	}
	// A mark of the old segment must not be taken for one of the new.
	if j.mark != nil {
		if err := j.clearMark(); err != nil {
			return err
		}
	}
	if err := replaceFile(j.folder, segmentFile, j.batch); err != nil {
		j.synced = j.size
		return err
	}
	f, err := os.OpenFile(filepath.Join(j.folder, segmentFile), os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return errorx.Decorate(err, "open segment")
	}
	return j.adopt(f, int64(len(j.batch)))
}

// SaveSnapshot writes a snapshot. It may run beside Save, but not beside another
// SaveSnapshot; the old segment is needed until Begin.
func (j *Log) SaveSnapshot(s *replicav1.Snapshot) error {
	b, err := encodeSnapshot(j.id, s)
	if err != nil {
		return err
	}
	return replaceFile(j.folder, snapshotFile, b)
}

// Close ends the writing.
func (j *Log) Close() error {
	_ = j.mark.Sync()
	_ = j.mark.Close()
	if err := j.file.Close(); err != nil {
		return errorx.Decorate(err, "close segment")
	}
	return nil
}

// SetAside moves what a folder holds out of the way, so that the host comes
// back with an empty disk. What was set aside before is deleted.
func SetAside(folder string) error {
	lost := filepath.Join(folder, lostFolder)
	if err := os.RemoveAll(lost); err != nil {
		return errorx.Decorate(err, "delete old files")
	}
	if err := os.Mkdir(lost, folderMode); err != nil {
		return errorx.Decorate(err, "make folder")
	}
	// The segment goes first: without it nothing of the rest is used.
	for _, name := range []string{segmentFile, snapshotFile, markFile} {
		err := os.Rename(filepath.Join(folder, name), filepath.Join(lost, name))
		if err != nil && !os.IsNotExist(err) {
			return errorx.Decorate(err, "set %s aside", name)
		}
	}
	return syncFolder(folder)
}
