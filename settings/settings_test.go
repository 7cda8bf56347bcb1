package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestRead checks the faults that are reported for the settings in
// testdata/read. The command of each case names the program that reads them.
func TestRead(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.json")
	datadriven.RunTest(t, "testdata/read", func(t *testing.T, d *datadriven.TestData) string {
		if err := os.WriteFile(file, []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		err := readAs(d.Cmd, file)
		var check *CheckError
		if !errors.As(err, &check) {
			return fmt.Sprintln(err)
		}
		var out strings.Builder
		for _, f := range check.Faults {
			fmt.Fprintln(&out, f)
		}
		return out.String()
	})
	if _, err := ReadEntry(file + ".none"); err == nil {
		t.Error("reading a file that does not exist returned no error")
	}
}

func readAs(program, file string) error {
	var err error
	switch program {
	case "entry":
		_, err = ReadEntry(file)
	case "agent":
		_, err = ReadAgent(file)
	default:
		_, err = ReadControl(file)
	}
	return err
}
