package writeahead

import (
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"

	replicav1 "ebonyreel/proto/replica/v1"
)

// syncedLengthFileBytes is the size of the file of the synced length: the length
// and its checksum.
const syncedLengthFileBytes = 8 + checksumBytes

// writeSyncedLength writes the synced length of the segment to its file. The
// file is not synced, and a full disk is no error: with an old or missing length
// only less corruption is found.
func (l *Log) writeSyncedLength() error {
	b := binary.LittleEndian.AppendUint64(nil, uint64(l.synced))
	b = binary.LittleEndian.AppendUint32(b, checksum(b))
	_, err := l.lengthFile.WriteAt(b, 0)
	if err != nil && !isDiskFull(err) {
		return errorx.Decorate(err, "write synced length")
	}
	return nil
}

// clearSyncedLength empties the file of the synced length, and syncs it. After a
// *DiskFullError the file is unchanged.
func (l *Log) clearSyncedLength() error {
	if err := l.lengthFile.Truncate(0); err != nil {
		return decorate(err, "clear synced length")
	}
	if err := l.lengthFile.Sync(); err != nil {
		return &SyncError{Cause: err}
	}
	return nil
}

// readSyncedLength returns the length of the segment that is known to be synced,
// in bytes. It is zero if the file is missing or damaged.
func readSyncedLength(folder string) uint64 {
	b, err := os.ReadFile(filepath.Join(folder, syncedLengthFile))
	if err != nil || len(b) < syncedLengthFileBytes {
		return 0
	}
	if binary.LittleEndian.Uint32(b[8:]) != checksum(b[:8]) {
		return 0
	}
	return binary.LittleEndian.Uint64(b)
}

// readFile returns the content of a file, or nil if the file does not exist.
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

// readFolder returns the content of a folder, and the length of the intact
// records of its segment, in bytes. A folder without a segment counts as empty,
// because a snapshot alone has no term and vote.
func readFolder(folder string) (*Content, int64, error) {
	c := &Content{}
	f, err := os.Open(filepath.Join(folder, segmentFile))
	if errors.Is(err, fs.ErrNotExist) {
		return c, 0, nil
	}
	if err != nil {
		return nil, 0, errorx.Decorate(err, "open segment")
	}
	defer func() { _ = f.Close() }()
	snapshot, id, err := readSnapshot(folder)
	if err != nil {
		return nil, 0, err
	}
	c.Snapshot = snapshot
	info, err := f.Stat()
	if err != nil {
		return nil, 0, errorx.Decorate(err, "read length of segment")
	}
	size, err := readSegment(f, info.Size(), readSyncedLength(folder), c.addRecord)
	if err != nil {
		return nil, 0, err
	}
	if c.ID == "" {
		return nil, 0, &CorruptionError{File: segmentFile, Reason: "the server ID is missing"}
	}
	if id != "" && id != c.ID {
		return nil, 0, &CorruptionError{File: snapshotFile, Reason: "it belongs to another server"}
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

// addRecord adds a record of a segment to the content. The first one must have the
// server ID.
func (c *Content) addRecord(r *replicav1.Record) error {
	if c.ID == "" {
		if c.ID = r.GetId(); c.ID == "" {
			return &CorruptionError{File: segmentFile, Reason: "the server ID is missing"}
		}
		return nil
	}
	if s := r.GetState(); s != nil {
		c.State = s
	}
	if e := r.GetEntry(); e != nil {
		return c.addEntry(e)
	}
	return nil
}

// addEntry adds an entry, which replaces those from its index on. An entry that
// the snapshot covers is not added, but removes all that were added before.
func (c *Content) addEntry(e *replicav1.Entry) error {
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
		return &CorruptionError{File: segmentFile, Reason: "entries are missing"}
	}
	c.Entries = append(c.Entries, e)
	return nil
}
