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
)

// routerCPU returns the processor time that the router's processes have used.
func (p Plan) routerCPU() time.Duration {
	var total time.Duration
	for _, id := range p.RouterProcesses {
		total += processCPU(id)
	}
	return total
}

// processCPU returns the processor time that a process has used, or zero once it
// has ended.
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
