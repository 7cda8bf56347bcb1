package state

import (
	"testing"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestDocumentHistoryBounded guards against a history that keeps many large documents, as
// its retention counts them and not their bytes.
func TestDocumentHistoryBounded(t *testing.T) {
	resolved, digest := exampleDocument(t)
	for _, c := range []struct {
		name        string
		sourceBytes int
		// kept is the number of documents that are kept of 30.
		kept int
	}{
		{"small", 1 << 10, 30},
		{"large", 3 << 20, 6},
		{"larger than the bound", 17 << 20, 1},
	} {
		s := New(5)
		for i := range 30 {
			d := &controlv1.Document{Environment: "trial", Number: uint64(i + 1), Digest: digest, Resolved: resolved, Source: make([]byte, c.sourceBytes)}
			if _, err := s.Apply(&controlv1.Command{Kind: &controlv1.Command_Accept{Accept: d}}); err != nil {
				t.Fatal(err)
			}
		}
		kept := s.Documents("trial")
		if len(kept) != c.kept {
			t.Errorf("%s: %d documents are kept, want %d", c.name, len(kept), c.kept)
		}
		if newest := kept[len(kept)-1].GetNumber(); newest != 30 {
			t.Errorf("%s: the newest document kept is %d, want 30", c.name, newest)
		}
	}
}
