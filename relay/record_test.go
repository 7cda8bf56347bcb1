package relay

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// TestRefusalNamesDocument guards against refusals that do not tell which document a
// call without a route was judged by, and how old that document was.
func TestRefusalNamesDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const age = 3 * time.Second
		f := &staticFleet{document: readDocument(t), documentAt: time.Now()}
		time.Sleep(age)
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := &scriptedEndpoints{}
		decisions := newDecisionLog(t, log)
		r := New(f, s, s, s, "osu", RetryBudget{}, decisions, logrus.NewEntry(log))
		r.Serve(t.Context(), &Call{ID: "r", Host: "nobody.example", Path: "/", Arrived: time.Now()}, &recordingCaller{})
		got, _ := decisions.Find("r")
		if got.Outcome != string(NoRoute) || got.DocumentNumber != f.document.Number || got.DocumentAgeMilliseconds != age.Milliseconds() {
			t.Errorf("got outcome %s, document %d of age %d ms, want %s, %d and %d", got.Outcome, got.DocumentNumber, got.DocumentAgeMilliseconds, NoRoute, f.document.Number, age.Milliseconds())
		}
	})
}
