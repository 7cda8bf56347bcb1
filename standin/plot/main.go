// Command plot reads the JSON lines of bench runs, draws goodput and wasted
// prefill over offered load as an SVG file, and prints a Markdown table of
// medians and ranges.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"
)

// Result is the result of one bench run, as the command load prints it.
type Result struct {
	Case       string
	Deployment string
	Policy     string
	Seed       uint64
	Refused    int
	Lost       int
	// Bound and Goodput are in requests per second; OfBound is Goodput / Bound.
	Bound   float64
	Goodput float64
	OfBound float64
	// WastedPrefill is a share of all prefill work.
	WastedPrefill float64
	// FirstTokenP95 and BetweenTokensP95 are in milliseconds.
	FirstTokenP95    float64
	BetweenTokensP95 float64
	// Late is the share of offered calls with a deadline that succeeded after it.
	Late float64
	// RouterMicrosecondsPerToken is processor time of the router's processes.
	RouterMicrosecondsPerToken float64
}

func main() {
	out := flag.String("svg", "", "file for the plot; empty means none")
	flag.Parse()
	if err := run(*out, flag.Args()); err != nil {
		log.Fatal(err)
	}
}

func run(out string, files []string) error {
	var results []Result
	for _, f := range files {
		l, err := readResults(f)
		if err != nil {
			return err
		}
		results = append(results, l...)
	}
	groups := groupRuns(results)
	fmt.Print(table(groups))
	if out == "" {
		return nil
	}
	return drawFile(out, drawRows(groups))
}

func readResults(file string) ([]Result, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	var out []Result
	s := bufio.NewScanner(f)
	for s.Scan() {
		var l Result
		if err := json.Unmarshal(s.Bytes(), &l); err != nil {
			return nil, fmt.Errorf("%s: %w", file, err)
		}
		out = append(out, l)
	}
	return out, s.Err()
}
