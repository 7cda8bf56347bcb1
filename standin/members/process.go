package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	// clockTick is the unit of processor time in /proc.
	clockTick = 10 * time.Millisecond
	// userTimeField and systemTimeField are indexes into the fields of
	// /proc/PID/stat that follow the process name.
	userTimeField   = 11
	systemTimeField = 12
	kibibyte        = 1 << 10
	mebibyte        = 1 << 20
)

// process is a process whose CPU and memory use is measured.
type process struct {
	name string
	id   int
}

// parseProcesses reads name=id pairs with commas between.
func parseProcesses(s string) ([]process, error) {
	var out []process
	for _, p := range strings.FieldsFunc(s, func(r rune) bool { return r == ',' }) {
		name, digits, _ := strings.Cut(p, "=")
		id, err := strconv.Atoi(digits)
		if err != nil {
			return nil, err
		}
		out = append(out, process{name: name, id: id})
	}
	return out, nil
}

// cpu returns the processor time that the process has used, or zero once it has
// ended.
func (p process) cpu() time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.id))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) <= systemTimeField {
		return 0
	}
	user, _ := strconv.Atoi(f[userTimeField])
	system, _ := strconv.Atoi(f[systemTimeField])
	return time.Duration(user+system) * clockTick
}

// memory returns the current and the peak resident memory of the process in MiB.
func (p process) memory() (current, peak float64) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.id))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(b)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		v, _ := strconv.ParseFloat(f[1], 64)
		switch f[0] {
		case "VmRSS:":
			current = v * kibibyte / mebibyte
		case "VmHWM:":
			peak = v * kibibyte / mebibyte
		}
	}
	return current, peak
}
