package writeahead

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/joomcode/errorx"

	replicav1 "ebonyreel/proto/replica/v1"
)

const markBytes = 8 + checksumBytes

// replaceFile writes a file all or nothing: a synced copy takes the name.
func replaceFile(folder, name string, b []byte) error {
	path := filepath.Join(folder, name)
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return errorx.Decorate(err, "make %s", name)
	}
	defer func() { _ = f.Close() }()
	if _, err := f.Write(b); errors.Is(err, syscall.ENOSPC) {
		// What there is of the copy takes room that others need.
		return &FullError{Cause: errors.Join(err, os.Remove(path+".new"))}
	} else if err != nil {
		return &SyncError{Cause: err}
	}
	if err := f.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	if err := os.Rename(path+".new", path); err != nil {
		return errorx.Decorate(err, "rename %s", name)
	}
	return syncFolder(folder)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return errorx.Decorate(err, "open data folder")
	}
	defer func() { _ = d.Close() }()
	if err := d.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	return nil
}

// writeMark notes how much of the segment is synced. It is not synced itself:
// an old mark only makes less rot known, and so does one that a full disk did
// not take.
func (j *Log) writeMark() error {
	b := binary.LittleEndian.AppendUint64(nil, uint64(j.synced))
	b = binary.LittleEndian.AppendUint32(b, checksum(b))
	_, err := j.mark.WriteAt(b, 0)
	if err != nil && !errors.Is(err, syscall.ENOSPC) {
		return errorx.Decorate(err, "write mark")
	}
	return nil
}

// clearMark forgets the mark, on the disk as well.
func (j *Log) clearMark() error {
	if err := j.mark.Truncate(0); err != nil {
		return errorx.Decorate(err, "clear mark")
	}
	if err := j.mark.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	return nil
}

// readMark returns the length of the segment that is known to be synced.
func readMark(folder string) uint64 {
	b, err := os.ReadFile(filepath.Join(folder, markFile))
	if err != nil || len(b) < markBytes {
		return 0
	}
	if binary.LittleEndian.Uint32(b[8:]) != checksum(b[:8]) {
		return 0
	}
	return binary.LittleEndian.Uint64(b)
}

// readFile returns a file's content, and nil if there is none.
func readFile(folder, name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(folder, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errorx.Decorate(err, "read %s", name)
	}
	return b, nil
}

// read returns what a folder holds and the length of its sound records. A
// folder without a segment is empty: a snapshot alone tells no term or vote.
func read(folder string) (*Content, int64, error) {
	c := &Content{}
	b, err := readFile(folder, segmentFile)
	if err != nil || b == nil {
		return c, 0, err
	}
	records, size, err := decodeSegment(b, readMark(folder))
	if err != nil {
		return nil, 0, err
	}
	if c.Snapshot, c.ID, err = readSnapshot(folder); err != nil {
		return nil, 0, err
	}
	if err := c.fill(records); err != nil {
		return nil, 0, err
	}
	return c, size, nil
}

func readSnapshot(folder string) (*replicav1.Snapshot, string, error) {
	b, err := readFile(folder, snapshotFile)
	if err != nil || b == nil {
		return nil, "", err
	}
	f, err := decodeSnapshot(b)
	if err != nil {
		return nil, "", err
	}
	return f.GetSnapshot(), f.GetId(), nil
}

// fill takes in the records of a segment. An entry replaces all that were
// written before it at its index and above.
func (c *Content) fill(records []*replicav1.Record) error {
	if len(records) == 0 || records[0].GetId() == "" {
		return &RotError{File: segmentFile, Reason: "the identity is missing"}
	}
	if c.ID != "" && c.ID != records[0].GetId() {
		return &RotError{File: snapshotFile, Reason: "it belongs to another server"}
	}
	c.ID = records[0].GetId()
	for _, r := range records[1:] {
		if s := r.GetState(); s != nil {
			c.State = s
		}
		if e := r.GetEntry(); e != nil {
			if err := c.add(e); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Content) add(e *replicav1.Entry) error {
	if e.GetIndex() <= c.Snapshot.GetIndex() {
		c.Entries = nil
		return nil
	}
	if n := len(c.Entries); n > 0 && e.GetIndex() <= c.Entries[n-1].GetIndex() {
		c.Entries = c.Entries[:e.GetIndex()-c.Entries[0].GetIndex()]
	}
	expected := c.Snapshot.GetIndex() + 1
	if n := len(c.Entries); n > 0 {
		expected = c.Entries[n-1].GetIndex() + 1
	}
	if e.GetIndex() != expected {
		return &RotError{File: segmentFile, Reason: "entries are missing"}
	}
	c.Entries = append(c.Entries, e)
	return nil
}
