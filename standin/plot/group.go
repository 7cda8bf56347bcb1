package main

import (
	"fmt"
	"slices"
	"strings"
)

// runKey identifies runs that differ only in their seed.
type runKey struct {
	deployment string
	caseName   string
	policy     string
}

// runGroup holds the runs of all seeds of one key.
type runGroup struct {
	key     runKey
	results []Result
}

// groupRuns groups runs by key, in the order in which the keys first occur.
func groupRuns(results []Result) []runGroup {
	var out []runGroup
	for _, l := range results {
		k := runKey{deployment: l.Deployment, caseName: l.Case, policy: l.Policy}
		i := slices.IndexFunc(out, func(r runGroup) bool { return r.key == k })
		if i < 0 {
			i = len(out)
			out = append(out, runGroup{key: k})
		}
		out[i].results = append(out[i].results, l)
	}
	return out
}

// medianAndRange returns the median, the lowest and the highest value of a field
// over all seeds. Of an even number of values the median is the upper middle one.
func (r runGroup) medianAndRange(field func(l Result) float64) (float64, float64, float64) {
	values := make([]float64, 0, len(r.results))
	for _, l := range r.results {
		values = append(values, field(l))
	}
	slices.Sort(values)
	return values[len(values)/2], values[0], values[len(values)-1]
}

func goodput(l Result) float64       { return l.OfBound }
func wastedPrefill(l Result) float64 { return l.WastedPrefill }

// table returns a Markdown table with a row for each group. A cell is the median,
// followed by the range in parentheses when the values differ.
func table(groups []runGroup) string {
	var b strings.Builder
	b.WriteString("| deployment | case | policy | seeds | goodput of bound | wasted prefill | refused | lost | first token p95, ms | between tokens p95, ms | late lookups | router CPU, µs a token |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range groups {
		cells := []string{
			r.key.deployment, r.key.caseName, r.key.policy, fmt.Sprint(len(r.results)),
			r.formatCell("%.3f", goodput), r.formatCell("%.4f", wastedPrefill),
			r.formatCell("%.0f", func(l Result) float64 { return float64(l.Refused) }),
			r.formatCell("%.0f", func(l Result) float64 { return float64(l.Lost) }),
			r.formatCell("%.0f", func(l Result) float64 { return l.FirstTokenP95 }),
			r.formatCell("%.1f", func(l Result) float64 { return l.BetweenTokensP95 }),
			r.formatCell("%.3f", func(l Result) float64 { return l.Late }),
			r.formatCell("%.0f", func(l Result) float64 { return l.RouterMicrosecondsPerToken }),
		}
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	return b.String()
}

func (r runGroup) formatCell(format string, field func(l Result) float64) string {
	m, low, high := r.medianAndRange(field)
	if low == high {
		return fmt.Sprintf(format, m)
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", m, low, high)
}
