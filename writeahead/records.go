package writeahead

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	lengthBytes   = 4
	checksumBytes = 4
	syncedBytes   = 8
	// headerBytes precede each record: the length of its content, a checksum
	// of all that follows, and the length that was synced.
	headerBytes    = lengthBytes + checksumBytes + syncedBytes
	maxRecordBytes = 1 << 28
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 {
	return crc32.Checksum(b, castagnoli)
}

// appendRecord adds a record to a batch.
func appendRecord(b []byte, r *replicav1.Record, synced int64) ([]byte, error) {
	content, err := proto.Marshal(r)
	if err != nil {
		return nil, errorx.Decorate(err, "encode record")
	}
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(content)))
	b = binary.LittleEndian.AppendUint32(b, 0)
	b = binary.LittleEndian.AppendUint64(b, uint64(synced))
	b = append(b, content...)
	sum := checksum(b[start+lengthBytes+checksumBytes:])
	binary.LittleEndian.PutUint32(b[start+lengthBytes:], sum)
	return b, nil
}

// decodeRecord returns the record at the start of b, its length, and what was
// synced when it was written; false if it is not sound.
func decodeRecord(b []byte) (r *replicav1.Record, length int, synced uint64, ok bool) {
	if len(b) < headerBytes {
		return nil, 0, 0, false
	}
	size := binary.LittleEndian.Uint32(b)
	if size == 0 || size > maxRecordBytes || int(size) > len(b)-headerBytes {
		return nil, 0, 0, false
	}
	length = headerBytes + int(size)
	if checksum(b[lengthBytes+checksumBytes:length]) != binary.LittleEndian.Uint32(b[lengthBytes:]) {
		return nil, 0, 0, false
	}
	r = &replicav1.Record{}
	if proto.Unmarshal(b[headerBytes:length], r) != nil {
		return nil, 0, 0, false
	}
	return r, length, binary.LittleEndian.Uint64(b[lengthBytes+checksumBytes:]), true
}

// decodeSegment returns the records of a segment and the length that they
// take. What follows was never synced. The error is a *RotError when something
// before a synced length is damaged.
func decodeSegment(b []byte, mark uint64) ([]*replicav1.Record, int64, error) {
	var out []*replicav1.Record
	at := 0
	for at < len(b) {
		r, length, _, ok := decodeRecord(b[at:])
		if !ok {
			break
		}
		out = append(out, r)
		at += length
	}
	if uint64(at) < max(mark, laterSynced(b, at)) {
		return nil, 0, &RotError{File: segmentFile, Reason: "a synced record is damaged"}
	}
	return out, int64(at), nil
}

// laterSynced looks for sound records after a damaged one, and returns the
// greatest length that they know to be synced.
func laterSynced(b []byte, damaged int) uint64 {
	var most uint64
	for at := damaged + 1; at < len(b)-headerBytes; at++ {
		if _, _, synced, ok := decodeRecord(b[at:]); ok {
			most = max(most, synced)
		}
	}
	return most
}

func encodeSnapshot(id string, s *replicav1.Snapshot) ([]byte, error) {
	content, err := proto.Marshal(&replicav1.SnapshotFile{Id: id, Snapshot: s})
	if err != nil {
		return nil, errorx.Decorate(err, "encode snapshot")
	}
	b := binary.LittleEndian.AppendUint32(nil, checksum(content))
	return append(b, content...), nil
}

func decodeSnapshot(b []byte) (*replicav1.SnapshotFile, error) {
	f := &replicav1.SnapshotFile{}
	damaged := &RotError{File: snapshotFile, Reason: "its checksum does not match"}
	if len(b) < checksumBytes || checksum(b[checksumBytes:]) != binary.LittleEndian.Uint32(b) {
		return nil, damaged
	}
	if proto.Unmarshal(b[checksumBytes:], f) != nil {
		return nil, damaged
	}
	return f, nil
}
