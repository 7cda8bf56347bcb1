package relay

import (
	"strings"
	"testing"

	"ebonyreel/answers"
)

// TestLongLines guards against lines longer than the buffer of the reader, of which a later
// part is taken for a line of its own: for the end of the event, so that a stream goes on
// after an event that its caller did not receive whole, or for its ID.
func TestLongLines(t *testing.T) {
	for _, length := range []int{4094, 4095, 4096, 4097, 8192, 10000} {
		for name, field := range map[string]string{
			"data":    "data:" + strings.Repeat("a", length-len("data:")),
			"with ID": "data:" + strings.Repeat("id:", length)[:length-len("data:")],
			"comment": ":" + strings.Repeat("a", length-1),
		} {
			var b answers.Budget
			memory := b.Open(nil)
			event := "id: 7\n" + field + "\n\n"
			r := newEventReader(strings.NewReader(event+"id: 8\ndata: b\n\n"), "6", memory)
			got, err := r.next()
			if err != nil || string(got) != event || r.id != "7" || !r.hasFields {
				t.Errorf("%s of %d bytes: %d of %d bytes, ID %.20q, %v", name, length, len(got), len(event), r.id, err)
			}
			if got, err = r.next(); err != nil || r.id != "8" {
				t.Errorf("after %s of %d bytes: %q, ID %.20q, %v", name, length, got, r.id, err)
			}
			memory.Close()
		}
	}
}
