package settings

import (
	"fmt"
	"net/netip"
)

// defaultWatchHistory is the number of events kept for watchers that resume.
const defaultWatchHistory = 10_000

type checker struct {
	faults []Fault
}

func (c *checker) text(field, v string) {
	if v == "" {
		c.faults = append(c.faults, Fault{Field: field, Value: "nothing", Expected: "a text"})
	}
}

func (c *checker) address(field string, v netip.AddrPort) {
	if !v.IsValid() {
		c.faults = append(c.faults, Fault{Field: field, Value: "nothing", Expected: "an IP number and port"})
	}
}

func (c *checker) addresses(field string, v []netip.AddrPort) {
	if len(v) == 0 {
		c.faults = append(c.faults, Fault{Field: field, Value: "none", Expected: "at least one IP number and port"})
	}
	for i, a := range v {
		c.address(fmt.Sprintf("%s[%d]", field, i), a)
	}
}

func (c *checker) result(file string) error {
	if len(c.faults) == 0 {
		return nil
	}
	return &CheckError{File: file, Faults: c.faults}
}

// ReadEntry reads and checks the settings of an entry. The error is a
// *CheckError where the file could be read.
func ReadEntry(file string) (Entry, error) {
	s := Entry{Policy: "reserve"}
	if err := Read(file, &s); err != nil {
		return Entry{}, err
	}
	c := &checker{}
	c.text("Name", s.Name)
	c.text("Environment", s.Environment)
	c.text("FailureDomain", s.FailureDomain)
	c.address("Callers", s.Callers)
	c.address("Operators", s.Operators)
	c.addresses("Controls", s.Controls)
	return s, c.result(file)
}

// ReadAgent reads and checks the settings of an agent. The error is a
// *CheckError where the file could be read.
func ReadAgent(file string) (Agent, error) {
	var s Agent
	if err := Read(file, &s); err != nil {
		return Agent{}, err
	}
	c := &checker{}
	c.text("Name", s.Name)
	c.text("Environment", s.Environment)
	c.text("FailureDomain", s.FailureDomain)
	c.address("Peers", s.Peers)
	c.address("Endpoint", s.Endpoint)
	c.address("Operators", s.Operators)
	c.addresses("Controls", s.Controls)
	if !s.Announced.IsValid() {
		s.Announced = s.Peers
	}
	return s, c.result(file)
}

// ReadControl reads and checks the settings of a control process. The error
// is a *CheckError where the file could be read.
func ReadControl(file string) (Control, error) {
	s := Control{WatchHistory: defaultWatchHistory}
	if err := Read(file, &s); err != nil {
		return Control{}, err
	}
	c := &checker{}
	c.text("Name", s.Name)
	c.text("FailureDomain", s.FailureDomain)
	c.address("Peers", s.Peers)
	c.address("Operators", s.Operators)
	c.text("DataFolder", s.DataFolder)
	return s, c.result(file)
}
