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
	// userTimeField and systemTimeField count from the field after the name.
	userTimeField   = 11
	systemTimeField = 12
)

// usedCPU is the processor time that the router's processes have taken.
func (p Plan) usedCPU() time.Duration {
	var out time.Duration
	for _, id := range p.RouterProcesses {
		out += processCPU(id)
	}
	return out
}

// processCPU is zero for a process that has ended.
func processCPU(id int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", id))
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
