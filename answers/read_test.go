package answers

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
)

// TestRead reads answers of lengths around those of the buffers, whole, broken off, too
// long, and without memory left. None that breaks off may look whole.
func TestRead(t *testing.T) {
	const limit = 3 * chunkBytes
	errBroken := errors.New("connection reset")
	for _, length := range []int{0, 1, firstBytes - 1, firstBytes, firstBytes + 1, chunkBytes, firstBytes + chunkBytes, firstBytes + chunkBytes + 1, limit - 1, limit, limit + 1, 2 * limit} {
		want := make([]byte, length)
		for i := range want {
			want[i] = byte(i * 7)
		}
		b := &Budget{Limit: 10 * limit}
		read := func(r io.Reader) ([]byte, error) {
			a := b.Open(nil)
			defer a.Close()
			return a.Read(r, limit)
		}
		for name, r := range map[string]io.Reader{"whole": bytes.NewReader(want), "in halves": iotest.HalfReader(bytes.NewReader(want)), "with its end": iotest.DataErrReader(bytes.NewReader(want))} {
			got, err := read(r)
			var tooLong *TooLongError
			if errors.As(err, &tooLong) != (length > limit) || err == nil && !bytes.Equal(got, want) {
				t.Errorf("%d bytes %s: %d bytes, %v", length, name, len(got), err)
			}
		}
		for _, broken := range []error{errBroken, io.ErrUnexpectedEOF} {
			if _, err := read(io.MultiReader(bytes.NewReader(want), iotest.ErrReader(broken))); length <= limit && !errors.Is(err, broken) {
				t.Errorf("%d bytes and %v: %v", length, broken, err)
			}
		}
		if b.used != 0 {
			t.Errorf("%d bytes: %d count in the end", length, b.used)
		}
		small := (&Budget{Limit: firstBytes + chunkBytes}).Open(nil)
		var tooLong *TooLongError
		if _, err := small.Read(bytes.NewReader(want), limit); errors.As(err, &tooLong) != (length > firstBytes) {
			t.Errorf("%d bytes within %d: %v", length, firstBytes+chunkBytes, err)
		}
	}
}
