package replica

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	replicav1 "ebonyreel/proto/replica/v1"
)

var scriptSeed = flag.Uint64("script-seed", 1, "seed of the scripted clusters")

// TestScripts runs the scripts in testdata, one simulated cluster per file.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := newTestCluster(*scriptSeed)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range append([]string{d.Cmd + " " + argLine(d)}, strings.Split(d.Input, "\n")...) {
				if f := strings.Fields(line); len(f) > 0 {
					out.WriteString(c.run(t, f[0], f[1:]))
				}
			}
			for _, v := range c.violations {
				out.WriteString("VIOLATION " + v + "\n")
			}
			if out.Len() == 0 {
				return "ok\n"
			}
			return out.String()
		})
	})
}

func argLine(d *datadriven.TestData) string {
	var out []string
	for _, a := range d.CmdArgs {
		out = append(out, a.Key)
	}
	return strings.Join(out, " ")
}

// run runs one line of a script, and returns its output.
func (c *cluster) run(t *testing.T, command string, args []string) string {
	if command == "elapse" {
		d, err := time.ParseDuration(args[0])
		if err != nil {
			t.Fatal(err)
		}
		c.elapse(d)
		return ""
	}
	if command == "status" {
		return c.status()
	}
	if command == "join" {
		return c.change(AddLearner, c.addHost(args[0]))
	}
	if command == "slow" {
		c.slow[args[0]] = true
		return ""
	}
	if command == "remove" {
		return c.change(Remove, &host{id: args[0]})
	}
	if command == "boot" {
		h := c.addHost(args[0])
		h.node.Bootstrap(args[0], "")
		c.process(h)
		return ""
	}
	if len(args) > 0 && c.hosts[args[0]] == nil {
		t.Fatalf("unknown host %s", args[0])
	}
	return c.runOnHost(t, command, args)
}

// runOnHost runs a command whose first argument, if any, is an existing host.
func (c *cluster) runOnHost(t *testing.T, command string, args []string) string {
	var h *host
	if len(args) > 0 {
		h = c.hosts[args[0]]
	}
	switch command {
	case "promote":
		return c.change(Promote, h)
	case "propose":
		return c.propose(h, args[1:])
	case "read":
		n, err := c.read(h)
		if err != nil {
			return err.Error() + "\n"
		}
		c.elapse(testTick)
		if index, ok := h.answered[n]; ok {
			return fmt.Sprintf("read at %d\n", index)
		}
		return "no answer\n"
	case "crash":
		h.node = nil
	case "crash-before-sync":
		c.crashDuringDelivery(h)
	case "start":
		c.start(h)
	case "wipe":
		c.addHost(args[0])
	case "freeze":
		h.frozen = true
	case "thaw":
		h.frozen = false
	case "compact":
		c.compact(h)
	case "waiting":
		count, size := c.waitingEntries(h)
		return fmt.Sprintf("%d entries, %d bytes\n", count, size)
	case "transfer":
		if err := h.node.Transfer(c.now); err != nil {
			return err.Error() + "\n"
		}
		c.process(h)
	case "cut":
		c.blocked[args[0]+">"+args[1]] = true
	case "current":
		return c.current(h)
	case "committed-servers":
		return c.committedServers(h)
	case "lose":
		c.network = nil
	case "heal":
		clear(c.blocked)
		clear(c.slow)
		c.network, c.held = append(c.network, c.held...), nil
	default:
		t.Fatalf("unknown command %s", command)
	}
	return ""
}

// committedServers returns the IDs of the servers in the newest configuration that a host
// knows to be committed. Learners are in parentheses.
func (c *cluster) committedServers(h *host) string {
	var out []string
	for _, s := range h.node.Status(c.now).CommittedConfiguration.GetServers() {
		if s.GetLearner() {
			out = append(out, "("+s.GetId()+")")
		} else {
			out = append(out, s.GetId())
		}
	}
	return strings.Join(out, " ") + "\n"
}

// current tells when a host was last known to have all committed entries.
func (c *cluster) current(h *host) string {
	at := h.node.Status(c.now).CurrentAt
	if at.IsZero() {
		return "never\n"
	}
	if behind := c.now.Sub(at); behind > 2*testHeartbeatInterval {
		return fmt.Sprintf("%v ago\n", behind.Round(100*time.Millisecond))
	}
	return "now\n"
}

// crashDuringDelivery delivers the messages in the network to a host, crashes it
// before it has saved the first record, and starts it again.
func (c *cluster) crashDuringDelivery(h *host) {
	messages := c.network
	c.network = nil
	for _, m := range messages {
		if m.GetTo() == h.id {
			h.node.Step(c.now, m)
		} else {
			c.network = append(c.network, m)
		}
	}
	c.crashDuringSave(h, 0)
	c.start(h)
}

func (c *cluster) propose(h *host, commands []string) string {
	for _, k := range commands {
		if _, _, err := h.node.Propose(c.now, []byte(k)); err != nil {
			return err.Error() + "\n"
		}
	}
	c.process(h)
	return ""
}

// change proposes a membership change to the leader.
func (c *cluster) change(kind ChangeKind, h *host) string {
	l := c.leader()
	if l == nil {
		return "no leader\n"
	}
	if err := l.node.Change(c.now, kind, &replicav1.Server{Id: h.id, Name: h.name}); err != nil {
		return err.Error() + "\n"
	}
	c.process(l)
	return ""
}

func (c *cluster) status() string {
	var b strings.Builder
	for _, name := range c.names() {
		h := c.hosts[name]
		if h.node == nil {
			fmt.Fprintf(&b, "%s down\n", h.id)
			continue
		}
		s := h.node.Status(c.now)
		kind := s.Role.String()
		if !h.node.isVoter(h.id) {
			kind = "learner"
		}
		suffix := ""
		if !s.HasContact {
			suffix = " no contact"
		}
		fmt.Fprintf(&b, "%s %s commit=%d [%s]%s\n", h.id, kind, s.Commit, strings.Join(h.applied, " "), suffix)
	}
	return b.String()
}

// TestSafety runs clusters at random: messages are lost, doubled and delayed,
// hosts crash in the middle of a write, compact their logs and lose their disks,
// and the leadership and the servers change. The safety properties must hold
// after each step, and the cluster must recover in the end.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(rapid.Uint64().Draw(t, "seed"))
		c.process(c.boot())
		for _, name := range []string{"b", "c"} {
			c.elapse(2 * testElectionTimeout)
			c.change(AddLearner, c.addHost(name))
			c.elapse(2 * testElectionTimeout)
			c.change(Promote, c.hosts[name])
		}
		for range 150 {
			c.randomStep(t)
			if len(c.violations) > 0 {
				t.Fatal(strings.Join(c.violations, "\n"))
			}
		}
		c.checkRecovery(t)
	})
}

func (c *cluster) boot() *host {
	h := c.addHost("a")
	h.node.Bootstrap("a", "")
	return h
}

// randomStep does one random thing to the cluster.
func (c *cluster) randomStep(t *rapid.T) {
	h := c.hosts[rapid.SampledFrom(c.names()).Draw(t, "host")]
	kind := rapid.IntRange(0, 99).Draw(t, "kind")
	switch {
	case kind < 40:
		c.deliverRandom(t)
	case kind < 60:
		c.now = c.now.Add(testElectionTimeout / 3)
		if h.node != nil {
			h.node.Tick(c.now)
			c.crashOrSettle(t, h)
		}
	case kind < 75:
		if l := c.leader(); l != nil {
			_, _, _ = l.node.Propose(c.now, fmt.Appendf(nil, "k%d", c.random.Uint32()))
			c.crashOrSettle(t, l)
		}
	case kind < 82:
		if h.node == nil {
			c.start(h)
		}
	case kind < 88:
		if h.node != nil {
			_, _ = c.read(h)
		}
	case kind < 91:
		if h.node != nil {
			c.compact(h)
		}
	case kind < 94:
		c.elapse(testElectionTimeout)
	case kind < 96:
		if l := c.leader(); l != nil {
			_ = l.node.Transfer(c.now)
			c.process(l)
		}
	default:
		c.replaceHost(h)
	}
	c.checkLeader(h)
}

func (c *cluster) deliverRandom(t *rapid.T) {
	if len(c.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
	m := c.network[i]
	if rapid.IntRange(0, 9).Draw(t, "double") > 0 {
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
	switch rapid.IntRange(0, 9).Draw(t, "lose") {
	case 0:
	case 1:
		if h := c.byID(m.GetTo()); h != nil && h.node != nil {
			h.node.Step(c.now, m)
			c.crashDuringSave(h, rapid.IntRange(0, 3).Draw(t, "records"))
			c.start(h)
		}
	default:
		c.deliver(m)
	}
}

func (c *cluster) crashOrSettle(t *rapid.T, h *host) {
	if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
		c.crashDuringSave(h, rapid.IntRange(0, 3).Draw(t, "records"))
		return
	}
	c.process(h)
}

// replaceHost empties the disk of a host and replaces its server by a new one.
// It does so only while all servers of the leader's configuration run and are
// synced, because only one disk may be lost at a time.
func (c *cluster) replaceHost(h *host) {
	l := c.leader()
	if l == nil || l == h || len(l.node.configuration.GetServers()) < 3 {
		return
	}
	for _, s := range l.node.configuration.GetServers() {
		o := c.byID(s.GetId())
		if o == nil || o.node == nil || s.GetLearner() || o != l && !l.node.Synced(o.id) {
			return
		}
	}
	oldID := h.id
	replacement := c.addHost(h.name)
	for _, change := range []struct {
		kind ChangeKind
		id   string
	}{{Remove, oldID}, {AddLearner, replacement.id}, {Promote, replacement.id}} {
		c.elapse(2 * testElectionTimeout)
		if l = c.leader(); l != nil {
			_ = l.node.Change(c.now, change.kind, &replicav1.Server{Id: change.id, Name: h.name})
			c.process(l)
		}
	}
}

// checkRecovery starts all hosts that are down, and checks that the cluster
// elects a leader, commits a command and applies the same commands everywhere.
func (c *cluster) checkRecovery(t *rapid.T) {
	for _, h := range c.hosts {
		if h.node == nil {
			c.start(h)
		}
	}
	c.elapse(10 * testElectionTimeout)
	l := c.leader()
	if l == nil {
		t.Fatalf("no leader after all hosts were started:\n%s", c.status())
	}
	if _, _, err := l.node.Propose(c.now, []byte("last")); err != nil {
		t.Fatal(err)
	}
	c.process(l)
	c.elapse(4 * testElectionTimeout)
	for _, s := range l.node.configuration.GetServers() {
		h := c.byID(s.GetId())
		if h == nil {
			continue
		}
		if strings.Join(h.applied, " ") != strings.Join(l.applied, " ") {
			t.Fatalf("%s applied %v, but leader %s applied %v", h.id, h.applied, l.id, l.applied)
		}
	}
	if len(l.applied) == 0 || l.applied[len(l.applied)-1] != "last" {
		t.Fatalf("the last command was not applied: %v", l.applied)
	}
	if len(c.violations) > 0 {
		t.Fatal(strings.Join(c.violations, "\n"))
	}
}

// TestErrors checks that a follower refuses a proposal and names the leader.
func TestErrors(t *testing.T) {
	c := newTestCluster(1)
	c.process(c.boot())
	c.elapse(2 * testElectionTimeout)
	c.change(AddLearner, c.addHost("b"))
	c.elapse(2 * testElectionTimeout)
	_, _, err := c.hosts["b"].node.Propose(c.now, nil)
	var notLeader *NotLeaderError
	if !errors.As(err, &notLeader) || notLeader.Leader != c.hosts["a"].id {
		t.Fatalf("got error %v, want a *NotLeaderError that names %s", err, c.hosts["a"].id)
	}
}
