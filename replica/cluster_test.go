package replica

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	testElectionTimeout   = 500 * time.Millisecond
	testHeartbeatInterval = 100 * time.Millisecond
	testTick              = 25 * time.Millisecond
	testRetainedEntries   = 2
	testRetainedBytes     = 1 << 10
	testInFlightBytes     = 256
)

// host is a node with its disk and the commands that it has applied, up to
// appliedIndex.
type host struct {
	name         string
	id           string
	node         *Node
	disk         Stored
	applied      []string
	appliedIndex uint64
	frozen       bool
	// reads maps the number of a read to the lowest index that its answer may
	// have, and answered to the index that it got.
	reads    map[uint64]uint64
	answered map[uint64]uint64
}

// cluster runs nodes over a simulated network that can lose, delay, double and
// block messages. After each step it checks the safety properties of figure 3
// of the Raft paper.
type cluster struct {
	now     time.Time
	random  *rand.Rand
	hosts   map[string]*host
	network []*replicav1.Message
	blocked map[string]bool
	// slow holds the names of the hosts for which held keeps replication messages, which
	// all others overtake.
	slow       map[string]bool
	held       []*replicav1.Message
	identities int
	reads      uint64
	// leaders maps a term to the server that led it.
	leaders map[uint64]string
	// committed holds the entries that any node has applied, by index.
	committed       map[uint64]*replicav1.Entry
	newestCommitted uint64
	// violations describes each violated property.
	violations []string
}

func newTestCluster(seed uint64) *cluster {
	return &cluster{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		hosts: map[string]*host{}, blocked: map[string]bool{}, slow: map[string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]*replicav1.Entry{},
	}
}

func (c *cluster) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *cluster) names() []string {
	var out []string
	for n := range c.hosts {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// addHost starts a host with an empty disk and a new ID. It replaces a host of
// the same name.
func (c *cluster) addHost(name string) *host {
	c.identities++
	h := &host{name: name, id: fmt.Sprintf("%s%d", name, c.identities)}
	c.hosts[name] = h
	c.start(h)
	return h
}

func (c *cluster) start(h *host) {
	h.applied, h.appliedIndex = nil, 0
	if s := h.disk.Snapshot; s != nil {
		h.restore(s)
	}
	h.reads, h.answered = map[uint64]uint64{}, map[uint64]uint64{}
	h.node = New(Options{
		ID: h.id, ElectionTimeout: testElectionTimeout, HeartbeatInterval: testHeartbeatInterval, AppendBytes: 64, InFlightBytes: testInFlightBytes,
		Random: func(d time.Duration) time.Duration { return time.Duration(c.random.Int64N(int64(d))) },
	}, Stored{State: h.disk.State, Snapshot: h.disk.Snapshot, Entries: append([]*replicav1.Entry(nil), h.disk.Entries...)}, c.now)
}

func (h *host) restore(s *replicav1.Snapshot) {
	h.applied = nil
	if len(s.GetState()) > 0 {
		h.applied = strings.Split(string(s.GetState()), " ")
	}
	h.appliedIndex = s.GetIndex()
}

// process carries out the effects of a host's node until there are none.
func (c *cluster) process(h *host) {
	for h.node != nil {
		r := h.node.Ready()
		if r.Empty() {
			return
		}
		c.send(r.BeforeSync)
		c.sendReplication(r.Replication)
		h.disk.save(&r, -1)
		h.node.Saved()
		c.send(r.AfterSync)
		c.apply(h, &r)
	}
}

// crashDuringSave crashes a host while it saves its Ready; see Stored.save.
func (c *cluster) crashDuringSave(h *host, records int) {
	r := h.node.Ready()
	c.send(r.BeforeSync)
	c.sendReplication(r.Replication)
	h.disk.save(&r, records)
	h.node = nil
}

// save saves the records of a Ready. If records is -1, it saves all of them.
// Otherwise it simulates a crash: it saves that many records and loses the next
// one. With a lost entry all later entries are lost too, but a lost snapshot or
// state does not affect the records after it.
func (d *Stored) save(r *Ready, records int) {
	next := func() bool { records--; return records != -1 }
	if r.Snapshot != nil && next() {
		*d = Stored{State: d.State, Snapshot: r.Snapshot}
	}
	if r.State != nil && next() {
		d.State = r.State
	}
	for _, e := range r.Entries {
		if !next() {
			return
		}
		d.add(e)
	}
}

func (d *Stored) add(e *replicav1.Entry) {
	for i, o := range d.Entries {
		if o.GetIndex() == e.GetIndex() {
			d.Entries = d.Entries[:i:i]
			break
		}
	}
	d.Entries = append(d.Entries, e)
}

func (c *cluster) send(messages []*replicav1.Message) {
	for _, m := range messages {
		c.network = append(c.network, proto.CloneOf(m))
	}
}

func (c *cluster) sendReplication(messages []*replicav1.Message) {
	for _, m := range messages {
		if c.slow[strings.TrimRight(m.GetTo(), "0123456789")] {
			c.held = append(c.held, proto.CloneOf(m))
			continue
		}
		c.send([]*replicav1.Message{m})
	}
}

func (c *cluster) apply(h *host, r *Ready) {
	if r.Snapshot != nil {
		h.restore(r.Snapshot)
	}
	for _, e := range r.Committed {
		if e.GetIndex() != h.appliedIndex+1 {
			c.reportViolation("%s applied entry %d right after entry %d", h.id, e.GetIndex(), h.appliedIndex)
		}
		h.appliedIndex = e.GetIndex()
		if k := e.GetCommand(); k != nil {
			h.applied = append(h.applied, string(k))
		}
		if earlier := c.committed[e.GetIndex()]; earlier != nil && !proto.Equal(earlier, e) {
			c.reportViolation("two entries were committed at index %d: %v and %v", e.GetIndex(), earlier, e)
		}
		c.committed[e.GetIndex()] = e
		c.newestCommitted = max(c.newestCommitted, e.GetIndex())
	}
	for _, k := range r.Reads {
		want, known := h.reads[k.Number]
		if known && k.Index < want {
			c.reportViolation("read %d of %s was answered at index %d, but index %d was committed before it", k.Number, h.id, k.Index, want)
		}
		h.answered[k.Number] = k.Index
	}
}

// checkLeader checks, if a host has become leader, that it is the only leader
// of its term and has all committed entries.
func (c *cluster) checkLeader(h *host) {
	if h.node == nil {
		return
	}
	s := h.node.Status(c.now)
	if s.Role != Leader {
		return
	}
	if other, ok := c.leaders[s.Term]; ok && other != h.id {
		c.reportViolation("%s and %s both lead term %d", other, h.id, s.Term)
	}
	if _, ok := c.leaders[s.Term]; ok {
		return
	}
	c.leaders[s.Term] = h.id
	for i, e := range c.committed {
		if t, ok := h.node.log.term(i); i > h.node.log.snapshot.GetIndex() && (!ok || t != e.GetTerm()) {
			c.reportViolation("leader %s of term %d lacks committed entry %d", h.id, s.Term, i)
		}
	}
}

func (c *cluster) byID(id string) *host {
	for _, h := range c.hosts {
		if h.id == id {
			return h
		}
	}
	return nil
}

// deliver hands one message to the host that it is addressed to, unless that
// direction is blocked. A message for an ID whose disk was lost reaches the host
// of the same name with its new ID, as on a real network.
func (c *cluster) deliver(m *replicav1.Message) {
	name := strings.TrimRight(m.GetTo(), "0123456789")
	h := c.hosts[name]
	from := strings.TrimRight(m.GetFrom(), "0123456789")
	if h == nil || h.node == nil || c.blocked[from+">"+name] {
		return
	}
	h.node.Step(c.now, m)
	c.process(h)
	c.checkLeader(h)
}

// elapse lets the cluster clock run for a time, and ticks the nodes and
// delivers messages meanwhile.
func (c *cluster) elapse(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(testTick)
		for _, name := range c.names() {
			if h := c.hosts[name]; h.node != nil && !h.frozen {
				h.node.Tick(c.now)
				c.process(h)
				c.checkLeader(h)
			}
		}
		for range 8 {
			c.deliverAll()
		}
	}
}

// deliverAll delivers the messages in the network. Messages to frozen hosts stay
// there.
func (c *cluster) deliverAll() {
	messages := c.network
	c.network = nil
	for _, m := range messages {
		if h := c.hosts[strings.TrimRight(m.GetTo(), "0123456789")]; h != nil && h.frozen {
			c.network = append(c.network, m)
			continue
		}
		c.deliver(m)
	}
}

// waitingEntries returns the number of entries in the messages that wait for a
// host, and their size in bytes.
func (c *cluster) waitingEntries(h *host) (count, size int) {
	for _, m := range append(slices.Clone(c.network), c.held...) {
		if m.GetTo() != h.id {
			continue
		}
		for _, e := range m.GetEntries() {
			count, size = count+1, size+proto.Size(e)
		}
	}
	return count, size
}

func (c *cluster) leader() *host {
	var best *host
	for _, name := range c.names() {
		h := c.hosts[name]
		if h.node == nil || h.frozen || h.node.role != Leader {
			continue
		}
		if best == nil || h.node.state.GetTerm() > best.node.state.GetTerm() {
			best = h
		}
	}
	return best
}

// compact takes a snapshot of the commands that a host has applied, and
// compacts its log.
func (c *cluster) compact(h *host) {
	if h.appliedIndex <= h.node.log.snapshot.GetIndex() {
		return
	}
	s := &replicav1.Snapshot{
		Index: h.appliedIndex, Term: h.node.Term(h.appliedIndex), Configuration: h.node.Configuration(h.appliedIndex),
		State: []byte(strings.Join(h.applied, " ")),
	}
	h.node.Compact(s, Retention{Entries: testRetainedEntries, Bytes: testRetainedBytes})
	h.disk.Snapshot = s
	h.disk.Entries = append([]*replicav1.Entry(nil), h.node.Retained()...)
}

// read starts a read that must see every entry committed so far.
func (c *cluster) read(h *host) (uint64, error) {
	c.reads++
	h.reads[c.reads] = c.newestCommitted
	err := h.node.Read(c.now, c.reads)
	c.process(h)
	return c.reads, err
}
