package writeahead

import (
	"bufio"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io"
	"slices"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	lengthBytes   = 4
	checksumBytes = 4
	syncedBytes   = 8
	// headerBytes is the size of the header of a record: the length of the
	// content, a checksum of all that follows, and the synced length of the
	// segment.
	headerBytes = lengthBytes + checksumBytes + syncedBytes
	// maxRecordBytes bounds the content of a record. A greater length is damage.
	maxRecordBytes = 1 << 28
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 {
	return crc32.Checksum(b, castagnoli)
}

// appendRecord encodes a record and appends it to b.
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

// decodeRecord returns the record at the start of b, its length with the header,
// and the synced length of the segment when it was written. It returns false if
// the record is damaged or incomplete.
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

// readSegment passes the intact records at the start of a segment of size bytes to add,
// one at a time, and returns their length in bytes. The bytes after them were never
// synced. The error is that of add or of reading, or a *CorruptionError if a record before
// a synced length is damaged.
func readSegment(f io.Reader, size int64, syncedLength uint64, add func(*replicav1.Record) error) (int64, error) {
	in := bufio.NewReader(f)
	length := int64(0)
	var buffer []byte
	for {
		b, err := readRecord(in, size-length, buffer)
		if err != nil {
			return 0, err
		}
		r, recordLength, _, ok := decodeRecord(b)
		if !ok {
			return length, checkTail(in, b, length, syncedLength)
		}
		if err := add(r); err != nil {
			return 0, err
		}
		length += int64(recordLength)
		buffer = b[:0]
	}
}

// readRecord reads the bytes of a record into a buffer, of which remaining bytes are left
// in the segment. Where the record does not fit, it returns no more than the header.
func readRecord(in io.Reader, remaining int64, buffer []byte) ([]byte, error) {
	b, err := readUpTo(in, buffer, headerBytes)
	if err != nil || len(b) < headerBytes {
		return b, err
	}
	size := binary.LittleEndian.Uint32(b)
	if int64(size) > remaining-headerBytes {
		return b, nil
	}
	return readUpTo(in, b, int(size))
}

// readUpTo appends n bytes to b, or fewer at the end of the input.
func readUpTo(in io.Reader, b []byte, n int) ([]byte, error) {
	start := len(b)
	b = slices.Grow(b, n)[:start+n]
	read, err := io.ReadFull(in, b[start:])
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		err = nil
	}
	return b[:start+read], err
}

// checkTail returns a *CorruptionError if the bytes from a damaged record on were synced.
// The segment has length bytes before that record, of which b are the first ones.
func checkTail(in io.Reader, b []byte, length int64, syncedLength uint64) error {
	rest, err := io.ReadAll(in)
	if err != nil {
		return err
	}
	if uint64(length) < max(syncedLength, syncedAfter(append(b, rest...), 0)) {
		return &CorruptionError{File: segmentFile, Reason: "a synced record is damaged"}
	}
	return nil
}

// syncedAfter searches the bytes after from, where a damaged record starts, for
// intact records. It returns the greatest synced length that they carry, or zero.
func syncedAfter(b []byte, from int) uint64 {
	var longest uint64
	for offset := from + 1; offset < len(b)-headerBytes; offset++ {
		if _, _, synced, ok := decodeRecord(b[offset:]); ok {
			longest = max(longest, synced)
		}
	}
	return longest
}

func encodeSnapshot(id string, s *replicav1.Snapshot) ([]byte, error) {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, checksumBytes), &replicav1.SnapshotFile{Id: id, Snapshot: s})
	if err != nil {
		return nil, errorx.Decorate(err, "encode snapshot")
	}
	binary.LittleEndian.PutUint32(b, checksum(b[checksumBytes:]))
	return b, nil
}

func decodeSnapshot(b []byte) (*replicav1.SnapshotFile, error) {
	f := &replicav1.SnapshotFile{}
	corrupt := &CorruptionError{File: snapshotFile, Reason: "its checksum does not match"}
	if len(b) < checksumBytes || checksum(b[checksumBytes:]) != binary.LittleEndian.Uint32(b) {
		return nil, corrupt
	}
	if proto.Unmarshal(b[checksumBytes:], f) != nil {
		return nil, corrupt
	}
	return f, nil
}
