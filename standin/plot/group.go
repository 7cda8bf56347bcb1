package main

import (
	"fmt"
	"slices"
	"strings"
)

// key names the runs that differ in their seed only.
type key struct {
	deployment string
	kind       string
	policy     string
}

// runs is all seeds of one key.
type runs struct {
	key   key
	lines []Line
}

// group collects runs in the order in which they were first seen.
func group(lines []Line) []runs {
	var out []runs
	for _, l := range lines {
		k := key{deployment: l.Deployment, kind: l.Case, policy: l.Policy}
		i := slices.IndexFunc(out, func(r runs) bool { return r.key == k })
		if i < 0 {
			i = len(out)
			out = append(out, runs{key: k})
		}
		out[i].lines = append(out[i].lines, l)
	}
	return out
}

// median and the range of one field over all seeds.
func (r runs) median(field func(l Line) float64) (float64, float64, float64) {
	all := make([]float64, 0, len(r.lines))
	for _, l := range r.lines {
		all = append(all, field(l))
	}
	slices.Sort(all)
	return all[len(all)/2], all[0], all[len(all)-1]
}

func goodput(l Line) float64 { return l.OfBound }
func wasted(l Line) float64  { return l.WastedPrefill }

// table prints a row for each group: median (lowest to highest).
func table(groups []runs) string {
	var b strings.Builder
	b.WriteString("| deployment | case | policy | seeds | goodput of bound | wasted prefill | refused | lost | first token p95, ms | between tokens p95, ms | late lookups | router CPU, µs a token |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|\n")
	for _, r := range groups {
		cells := []string{
			r.key.deployment, r.key.kind, r.key.policy, fmt.Sprint(len(r.lines)),
			r.cell("%.3f", goodput), r.cell("%.4f", wasted),
			r.cell("%.0f", func(l Line) float64 { return float64(l.Refused) }),
			r.cell("%.0f", func(l Line) float64 { return float64(l.Lost) }),
			r.cell("%.0f", func(l Line) float64 { return l.FirstTokenP95 }),
			r.cell("%.1f", func(l Line) float64 { return l.BetweenTokensP95 }),
			r.cell("%.3f", func(l Line) float64 { return l.Late }),
			r.cell("%.0f", func(l Line) float64 { return l.RouterMicrosecondsPerToken }),
		}
		b.WriteString("| " + strings.Join(cells, " | ") + " |\n")
	}
	return b.String()
}

func (r runs) cell(format string, field func(l Line) float64) string {
	m, low, high := r.median(field)
	if low == high {
		return fmt.Sprintf(format, m)
	}
	return fmt.Sprintf(format+" ("+format+" to "+format+")", m, low, high)
}
