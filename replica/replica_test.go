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

// TestScripts runs the scripts of testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		c := newTestCluster(*scriptSeed)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range append([]string{d.Cmd + " " + args(d)}, strings.Split(d.Input, "\n")...) {
				if f := strings.Fields(line); len(f) > 0 {
					out.WriteString(c.run(t, f[0], f[1:]))
				}
			}
			for _, f := range c.faults {
				out.WriteString("FAULT " + f + "\n")
			}
			if out.Len() == 0 {
				return "ok\n"
			}
			return out.String()
		})
	})
}

func args(d *datadriven.TestData) string {
	var out []string
	for _, a := range d.CmdArgs {
		out = append(out, a.Key)
	}
	return strings.Join(out, " ")
}

// run carries out one line of a script.
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
		return c.change(AddLearner, c.empty(args[0]))
	}
	if command == "remove" {
		return c.change(Remove, &host{id: args[0]})
	}
	if command == "boot" {
		h := c.empty(args[0])
		h.node.Bootstrap(args[0], "")
		c.settle(h)
		return ""
	}
	if len(args) > 0 && c.hosts[args[0]] == nil {
		t.Fatalf("no host %s", args[0])
	}
	return c.act(t, command, args)
}

func (c *cluster) act(t *testing.T, command string, args []string) string {
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
		if at, ok := h.done[n]; ok {
			return fmt.Sprintf("read at %d\n", at)
		}
		return "no answer\n"
	case "crash":
		h.node = nil
	case "tear":
		c.tearDelivery(h)
	case "start":
		c.start(h)
	case "wipe":
		c.empty(args[0])
	case "freeze":
		h.frozen = true
	case "thaw":
		h.frozen = false
	case "compact":
		c.compact(h)
	case "transfer":
		if err := h.node.Transfer(c.now); err != nil {
			return err.Error() + "\n"
		}
		c.settle(h)
	case "cut":
		c.cuts[args[0]+">"+args[1]] = true
	case "lose":
		c.network = nil
	case "heal":
		clear(c.cuts)
	default:
		t.Fatalf("no command %s", command)
	}
	return ""
}

// tearDelivery hands a host what is under way to it and crashes it before it
// has saved anything.
func (c *cluster) tearDelivery(h *host) {
	all := c.network
	c.network = nil
	for _, m := range all {
		if m.GetTo() == h.id {
			h.node.Step(c.now, m)
		} else {
			c.network = append(c.network, m)
		}
	}
	c.tear(h, 0)
	c.start(h)
}

func (c *cluster) propose(h *host, commands []string) string {
	for _, k := range commands {
		if _, _, err := h.node.Propose(c.now, []byte(k)); err != nil {
			return err.Error() + "\n"
		}
	}
	c.settle(h)
	return ""
}

// change has the leader change the servers.
func (c *cluster) change(kind ChangeKind, h *host) string {
	l := c.leader()
	if l == nil {
		return "no leader\n"
	}
	if err := l.node.Change(c.now, kind, &replicav1.Server{Id: h.id, Name: h.name}); err != nil {
		return err.Error() + "\n"
	}
	c.settle(l)
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
		if !h.node.voter(h.id) {
			kind = "learner"
		}
		touch := ""
		if !s.InTouch {
			touch = " out of touch"
		}
		fmt.Fprintf(&b, "%s %s commit=%d [%s]%s\n", h.id, kind, s.Commit, strings.Join(h.applied, " "), touch)
	}
	return b.String()
}

// TestSafety drives clusters at random: messages are lost, doubled and late,
// hosts crash in the middle of a write, lose their disks, compact, and the
// servers change.
func TestSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster(rapid.Uint64().Draw(t, "seed"))
		c.settle(c.boot())
		for _, name := range []string{"b", "c"} {
			c.elapse(2 * testElection)
			c.change(AddLearner, c.empty(name))
			c.elapse(2 * testElection)
			c.change(Promote, c.hosts[name])
		}
		for range 150 {
			c.step(t)
			if len(c.faults) > 0 {
				t.Fatal(strings.Join(c.faults, "\n"))
			}
		}
		c.recover(t)
	})
}

func (c *cluster) boot() *host {
	h := c.empty("a")
	h.node.Bootstrap("a", "")
	return h
}

// step takes one random step.
func (c *cluster) step(t *rapid.T) {
	h := c.hosts[rapid.SampledFrom(c.names()).Draw(t, "host")]
	kind := rapid.IntRange(0, 99).Draw(t, "kind")
	switch {
	case kind < 40:
		c.deliverAny(t)
	case kind < 60:
		c.now = c.now.Add(testElection / 3)
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
		c.elapse(testElection)
	case kind < 96:
		if l := c.leader(); l != nil {
			_ = l.node.Transfer(c.now)
			c.settle(l)
		}
	default:
		c.replace(h)
	}
	c.check(h)
}

func (c *cluster) deliverAny(t *rapid.T) {
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
			c.tear(h, rapid.IntRange(0, 3).Draw(t, "records"))
			c.start(h)
		}
	default:
		c.deliver(m)
	}
}

func (c *cluster) crashOrSettle(t *rapid.T, h *host) {
	if rapid.IntRange(0, 9).Draw(t, "crash") == 0 {
		c.tear(h, rapid.IntRange(0, 3).Draw(t, "records"))
		return
	}
	c.settle(h)
}

// replace takes a host through a lost disk: only one at a time, while all the
// servers of the leader's configuration run and are synced.
func (c *cluster) replace(h *host) {
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
	old := h.id
	fresh := c.empty(h.name)
	for _, ch := range []struct {
		kind ChangeKind
		id   string
	}{{Remove, old}, {AddLearner, fresh.id}, {Promote, fresh.id}} {
		c.elapse(2 * testElection)
		if l = c.leader(); l != nil {
			_ = l.node.Change(c.now, ch.kind, &replicav1.Server{Id: ch.id, Name: h.name})
			c.settle(l)
		}
	}
}

// recover heals everything, and expects progress and equal states.
func (c *cluster) recover(t *rapid.T) {
	for _, h := range c.hosts {
		if h.node == nil {
			c.start(h)
		}
	}
	c.elapse(10 * testElection)
	l := c.leader()
	if l == nil {
		t.Fatalf("no leader after all is healed:\n%s", c.status())
	}
	if _, _, err := l.node.Propose(c.now, []byte("last")); err != nil {
		t.Fatal(err)
	}
	c.settle(l)
	c.elapse(4 * testElection)
	for _, s := range l.node.configuration.GetServers() {
		h := c.byID(s.GetId())
		if h == nil {
			continue
		}
		if strings.Join(h.applied, " ") != strings.Join(l.applied, " ") {
			t.Fatalf("%s applied %v, leader %s %v", h.id, h.applied, l.id, l.applied)
		}
	}
	if len(l.applied) == 0 || l.applied[len(l.applied)-1] != "last" {
		t.Fatalf("the last command is not applied: %v", l.applied)
	}
	if len(c.faults) > 0 {
		t.Fatal(strings.Join(c.faults, "\n"))
	}
}

// TestErrors looks at who a follower points to.
func TestErrors(t *testing.T) {
	c := newTestCluster(1)
	c.settle(c.boot())
	c.elapse(2 * testElection)
	c.change(AddLearner, c.empty("b"))
	c.elapse(2 * testElection)
	_, _, err := c.hosts["b"].node.Propose(c.now, nil)
	var not *NotLeaderError
	if !errors.As(err, &not) || not.Leader != c.hosts["a"].id {
		t.Fatalf("found %v, expected a refusal that names %s", err, c.hosts["a"].id)
	}
}
