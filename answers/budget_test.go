package answers

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestBudget runs scripts in which answers grow; those that are given up are closed, unless
// they are held. It guards against endless answers that take the memory of a process, or
// the place of short ones.
func TestBudget(t *testing.T) {
	datadriven.Walk(t, "testdata/budget", func(t *testing.T, path string) {
		b := &Budget{Limit: 100 << 10}
		open := map[string]*Answer{}
		givenUp := make(chan string)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			name := d.CmdArgs[0].Key
			var err error
			var ended []string
			switch d.Cmd {
			case "open":
				held := d.HasArg("held")
				open[name] = b.Open(func() {
					if !held {
						open[name].Close()
					}
					givenUp <- name
				})
			case "grow":
				var kibibytes int64
				d.ScanArgs(t, "KiB", &kibibytes)
				before := b.givenUp.Value()
				err = open[name].Grow(kibibytes << 10)
				others := b.givenUp.Value() - before
				if err != nil {
					others--
				}
				for range others {
					ended = append(ended, <-givenUp)
				}
			case "complete":
				open[name].complete()
			case "close":
				open[name].Close()
			default:
				d.Fatalf(t, "unknown command %s", d.Cmd)
			}
			out := fmt.Sprintf("used %d KiB", b.used>>10)
			if len(ended) > 0 {
				slices.Sort(ended)
				out += ", gave up " + strings.Join(ended, " ")
			}
			if err != nil {
				out += ", " + err.Error()
			}
			return out + "\n"
		})
	})
}
