package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"ebonyreel/access"
	"ebonyreel/document"
	"ebonyreel/faults"
	"ebonyreel/placement"
)

// defaultWatchHistory is the default number of change events that a control
// host keeps for watches that resume.
const defaultWatchHistory = 10_000

// defaultOrderPause is longer than the lease of a leader of the control hosts,
// so that a former leader gives no more orders when it has passed.
const defaultOrderPause = document.Duration(3 * time.Second)

// maxTolerated is the largest number of control hosts that may fail at the same
// time. It takes 2*4+1 hosts, and at most nine are set aside for control.
const maxTolerated = 4

// defaultRetryBudget allows retries of a fifth of the requests, and 50 more per
// window so that retries are possible after a period with few requests.
var defaultRetryBudget = RetryBudget{Ratio: 0.2, Slack: 50, Window: document.Duration(10 * time.Second)}

// checker collects the faults of the values in a settings file.
type checker struct {
	faults.List
	// listenFields maps each address on which the process listens to the first
	// field that names it.
	listenFields map[netip.AddrPort]string
}

func (c *checker) protocol(v string) {
	if v != OpenAI && v != Platform {
		c.AddText("Protocol", v, "OpenAI or Platform")
	}
}

func (c *checker) memory(megabytes int) {
	if megabytes < 0 {
		c.Add("MemoryMegabytes", megabytes, "zero or a number above it")
	}
}

func (c *checker) retryBudget(b RetryBudget) {
	if b.Ratio < 0 || b.Slack < 0 || b.Window <= 0 {
		c.Add("RetryBudget", fmt.Sprintf("%v, %v, %s", b.Ratio, b.Slack, time.Duration(b.Window)), "a ratio and a slack from 0, and a window above 0")
	}
}

func (c *checker) quotaTolerance(t QuotaTolerance) {
	if !(t.Excess >= 0) || t.Window < 0 {
		c.Add("QuotaTolerance", fmt.Sprintf("%v, %s", t.Excess, time.Duration(t.Window)), "an excess and a window from 0")
	}
}

// requireText checks that a string is not empty.
func (c *checker) requireText(field, v string) {
	if v == "" {
		c.AddText(field, v, "a text")
	}
}

// requireAddress checks that an address is set and its port is not zero.
func (c *checker) requireAddress(field string, v netip.AddrPort) {
	const expected = "an IP number and port, such as 127.0.0.1:7100"
	switch {
	case !v.IsValid():
		c.Add(field, "nothing", expected)
	case v.Port() == 0:
		c.Add(field, v, expected)
	}
}

// listenAddress checks an address on which the process listens. No two fields
// of the settings may name the same address.
func (c *checker) listenAddress(field string, v netip.AddrPort) {
	c.requireAddress(field, v)
	if c.listenFields == nil {
		c.listenFields = map[netip.AddrPort]string{}
	}
	if first, ok := c.listenFields[v]; ok && v.IsValid() {
		c.Add(field, v, "an address other than that of "+first)
		return
	}
	c.listenFields[v] = field
}

// metricsAddress checks the address for metrics, which is optional.
func (c *checker) metricsAddress(v netip.AddrPort) {
	c.optionalAddress("Metrics", v)
}

// optionalAddress checks an address that may be unset.
func (c *checker) optionalAddress(field string, v netip.AddrPort) {
	if v.IsValid() {
		c.listenAddress(field, v)
	}
}

// controlAddresses checks the addresses of the control hosts: at least one, no
// duplicates, and none on which the process itself listens.
func (c *checker) controlAddresses(v []netip.AddrPort) {
	if len(v) == 0 {
		c.Add("Controls", "none", "at least one IP number and port")
	}
	seen := map[netip.AddrPort]string{}
	for i, a := range v {
		field := fmt.Sprintf("Controls[%d]", i)
		c.requireAddress(field, a)
		if listenField, ok := c.listenFields[a]; ok && a.IsValid() {
			c.Add(field, a, "an address other than that of "+listenField)
		}
		if first, ok := seen[a]; ok && a.IsValid() {
			c.Add(field, a, "an address other than that of "+first)
		}
		seen[a] = field
	}
}

// allOrNone checks that either all fields of a group are set, or none.
func (c *checker) allOrNone(fields, values []string) {
	set := 0
	for _, v := range values {
		if v != "" {
			set++
		}
	}
	for i, v := range values {
		if v == "" && set > 0 {
			c.Add(fields[i], "nothing", "a file, as "+strings.Join(fields, ", ")+" go together")
		}
	}
}

func (c *checker) security(s Security) {
	c.allOrNone([]string{"Security.CertificateFile", "Security.PrivateKeyFile", "Security.AuthorityFile"},
		[]string{s.CertificateFile, s.PrivateKeyFile, s.AuthorityFile})
	if len(s.Processes) > 0 && s.KeyFile == "" {
		c.Add("Security.KeyFile", "nothing", "a file, as the other processes ask for a key too")
	}
	seen := map[string]string{}
	c.keyHolders("Security.Processes", s.Processes, seen)
	c.keyHolders("Security.Operators", s.Operators, seen)
	if len(s.Operators) > 0 && len(s.Processes) == 0 {
		c.Add("Security.Processes", "none", "at least one holder, as calls of processes are checked too")
	}
}

// keyHolders checks a list of key holders. No two holders may have the same
// key; seen maps the hashes of the keys met so far, in lower case, to their
// fields.
func (c *checker) keyHolders(list string, holders []access.Holder, seen map[string]string) {
	for i, h := range holders {
		field := fmt.Sprintf("%s[%d]", list, i)
		c.requireText(field+".Name", h.Name)
		if b, err := hex.DecodeString(h.KeyHash); err != nil || len(b) != sha256.Size {
			c.Add(field+".KeyHash", fmt.Sprintf("%d characters", len(h.KeyHash)), "64 hexadecimal digits, the SHA-256 of the key")
		}
		hash := strings.ToLower(h.KeyHash)
		if first, ok := seen[hash]; ok {
			c.Add(field+".KeyHash", "the same", "a value other than that of "+first)
		}
		seen[hash] = field + ".KeyHash"
	}
}

// readFile decodes a file into v and then calls check to check its values. When
// the file can be read but its content is invalid, the error is a *CheckError.
func readFile(file string, v any, check func(c *checker)) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errorx.Decorate(err, "read settings")
	}
	decoding := faults.Decode(b, v)
	c := &checker{}
	check(c)
	if found := faults.Merge(decoding, c.All); len(found) > 0 {
		return &CheckError{File: file, Faults: found}
	}
	return nil
}

// ReadEntry reads and checks the settings of an entry. When the file can be
// read but its content is invalid, the error is a *CheckError.
func ReadEntry(file string) (Entry, error) {
	s := Entry{Policy: placement.Reserve, Protocol: OpenAI, RetryBudget: defaultRetryBudget}
	err := readFile(file, &s, func(c *checker) {
		c.requireText("Name", s.Name)
		c.requireText("Environment", s.Environment)
		c.requireText("FailureDomain", s.FailureDomain)
		c.listenAddress("Callers", s.Callers)
		c.listenAddress("Operators", s.Operators)
		c.metricsAddress(s.Metrics)
		c.optionalAddress("Peers", s.Peers)
		c.controlAddresses(s.Controls)
		c.security(s.Security)
		c.allOrNone([]string{"CallersCertificateFile", "CallersPrivateKeyFile"}, []string{s.CallersCertificateFile, s.CallersPrivateKeyFile})
		if _, ok := placement.New(s.Policy); !ok {
			c.AddText("Policy", s.Policy, "reserve, round-robin or least-loaded")
		}
		c.protocol(s.Protocol)
		c.memory(s.MemoryMegabytes)
		c.retryBudget(s.RetryBudget)
		c.quotaTolerance(s.QuotaTolerance)
	})
	return s, err
}

// ReadAgent reads and checks the settings of an agent. When the file can be
// read but its content is invalid, the error is a *CheckError.
func ReadAgent(file string) (Agent, error) {
	var s Agent
	err := readFile(file, &s, func(c *checker) {
		c.requireText("Name", s.Name)
		c.requireText("Environment", s.Environment)
		c.requireText("FailureDomain", s.FailureDomain)
		c.listenAddress("Peers", s.Peers)
		c.listenAddress("Endpoint", s.Endpoint)
		c.listenAddress("Operators", s.Operators)
		c.metricsAddress(s.Metrics)
		c.controlAddresses(s.Controls)
		c.security(s.Security)
		c.memory(s.MemoryMegabytes)
		if !s.Announced.IsValid() {
			s.Announced = s.Peers
		}
	})
	return s, err
}

// ReadControl reads and checks the settings of a control process. When the file
// can be read but its content is invalid, the error is a *CheckError.
func ReadControl(file string) (Control, error) {
	s := Control{WatchHistory: defaultWatchHistory, Protocol: OpenAI, OrderPause: defaultOrderPause}
	err := readFile(file, &s, func(c *checker) {
		c.requireText("Name", s.Name)
		c.requireText("FailureDomain", s.FailureDomain)
		c.listenAddress("Peers", s.Peers)
		c.listenAddress("Operators", s.Operators)
		c.metricsAddress(s.Metrics)
		c.requireText("DataFolder", s.DataFolder)
		c.security(s.Security)
		if s.WatchHistory < 1 {
			c.Add("WatchHistory", s.WatchHistory, "a number from 1")
		}
		c.cluster(s.Name, s.Cluster)
		c.seeds(s)
		c.protocol(s.Protocol)
		c.memory(s.MemoryMegabytes)
		if s.Protocol == Platform {
			c.requireText("Environment", s.Environment)
		}
	})
	if len(s.Cluster) == 0 && len(s.Seeds) == 0 {
		s.Cluster = []ControlHost{{Name: s.Name, Address: s.Peers}}
	}
	return s, err
}

// seeds checks the settings by which control hosts discover each other.
func (c *checker) seeds(s Control) {
	if len(s.Seeds) > 0 && len(s.Cluster) > 0 {
		c.Add("Seeds", fmt.Sprintf("%d addresses", len(s.Seeds)), "none, as Cluster lists the hosts")
	}
	for i, a := range s.Seeds {
		c.requireAddress(fmt.Sprintf("Seeds[%d]", i), a)
	}
	if s.Tolerates < 0 || s.Tolerates > maxTolerated {
		c.Add("Tolerates", s.Tolerates, fmt.Sprintf("a number from 0 to %d", maxTolerated))
	}
}

// cluster checks the list of control hosts: an odd number of them, each listed
// once, and this one included.
func (c *checker) cluster(name string, hosts []ControlHost) {
	if len(hosts) == 0 {
		return
	}
	if len(hosts)%2 == 0 {
		c.Add("Cluster", fmt.Sprintf("%d hosts", len(hosts)), "an odd number of hosts")
	}
	names := map[string]bool{}
	for i, h := range hosts {
		field := fmt.Sprintf("Cluster[%d]", i)
		c.requireText(field+".Name", h.Name)
		c.requireAddress(field+".Address", h.Address)
		if names[h.Name] {
			c.AddText(field+".Name", h.Name, "a name of its own")
		}
		names[h.Name] = true
	}
	if !names[name] {
		c.AddText("Cluster", name, "this host's own name in the list")
	}
}
