package logs

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

// TestLongErrors guards against lines as long as what an endpoint sends, which an error
// quotes: the lines that wait are bounded in number.
func TestLongErrors(t *testing.T) {
	var out bytes.Buffer
	l := logrus.New()
	l.SetOutput(&out)
	l.AddHook(errorHook{})
	l.WithError(errors.New(strings.Repeat("a", 64<<10))).Info("try failed")
	if n := out.Len(); n > 2*maxErrorBytes {
		t.Errorf("line of %d bytes", n)
	}
	if !strings.Contains(out.String(), "aaaa") {
		t.Errorf("the error is missing: %s", out.String())
	}
}
