package replica

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	replicav1 "ebonyreel/proto/replica/v1"
)

const (
	testElection  = 500 * time.Millisecond
	testHeartbeat = 100 * time.Millisecond
	testTick      = 25 * time.Millisecond
	testKeep      = 2
)

// host is a node with its disk and the state that it has applied.
type host struct {
	name    string
	id      string
	node    *Node
	disk    Stored
	applied []string
	index   uint64
	frozen  bool
	// reads maps a read to what had to be seen by it; done has the answers.
	reads map[uint64]uint64
	done  map[uint64]uint64
}

// cluster runs nodes over a network that tests can break. After each step it
// checks the safety properties of the Raft paper's figure 3.
type cluster struct {
	now     time.Time
	random  *rand.Rand
	hosts   map[string]*host
	network []*replicav1.Message
	cuts    map[string]bool
	lives   int
	reads   uint64
	// leaders maps a term to the server that led it.
	leaders map[uint64]string
	// committed is what any node ever applied, by index.
	committed map[uint64]*replicav1.Entry
	newest    uint64
	// faults are the violated properties.
	faults []string
}

func newTestCluster(seed uint64) *cluster {
	return &cluster{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		hosts: map[string]*host{}, cuts: map[string]bool{},
		leaders: map[uint64]string{}, committed: map[uint64]*replicav1.Entry{},
	}
}

func (c *cluster) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *cluster) names() []string {
	var out []string
	for n := range c.hosts {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

// empty gives a host an empty disk and so a new identity.
func (c *cluster) empty(name string) *host {
	c.lives++
	h := &host{name: name, id: fmt.Sprintf("%s%d", name, c.lives)}
	c.hosts[name] = h
	c.start(h)
	return h
}

func (c *cluster) start(h *host) {
	h.applied, h.index = nil, 0
	if s := h.disk.Snapshot; s != nil {
		h.restore(s)
	}
	h.reads, h.done = map[uint64]uint64{}, map[uint64]uint64{}
	h.node = New(Options{
		ID: h.id, ElectionTimeout: testElection, HeartbeatInterval: testHeartbeat, AppendBytes: 64,
		Random: func(d time.Duration) time.Duration { return time.Duration(c.random.Int64N(int64(d))) },
	}, Stored{State: h.disk.State, Snapshot: h.disk.Snapshot, Entries: append([]*replicav1.Entry(nil), h.disk.Entries...)}, c.now)
}

func (h *host) restore(s *replicav1.Snapshot) {
	h.applied = nil
	if len(s.GetState()) > 0 {
		h.applied = strings.Split(string(s.GetState()), " ")
	}
	h.index = s.GetIndex()
}

// settle carries out a host's effects until there are none.
func (c *cluster) settle(h *host) {
	for h.node != nil {
		r := h.node.Ready()
		if r.Empty() {
			return
		}
		c.send(r.Early)
		h.disk.save(&r, -1)
		h.node.Saved()
		c.send(r.Late)
		c.apply(h, &r)
	}
}

// tear carries out a host's effects up to a part of its write, and crashes it.
func (c *cluster) tear(h *host, records int) {
	r := h.node.Ready()
	c.send(r.Early)
	h.disk.save(&r, records)
	h.node = nil
}

// save writes the records of a Ready, or only the first few of them.
func (d *Stored) save(r *Ready, records int) {
	more := func() bool { records--; return records != -1 }
	if r.Snapshot != nil && more() {
		*d = Stored{State: d.State, Snapshot: r.Snapshot}
	}
	if r.State != nil && more() {
		d.State = r.State
	}
	for _, e := range r.Entries {
		if !more() {
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

func (c *cluster) send(all []*replicav1.Message) {
	for _, m := range all {
		c.network = append(c.network, proto.CloneOf(m))
	}
}

func (c *cluster) apply(h *host, r *Ready) {
	if r.Snapshot != nil {
		h.restore(r.Snapshot)
	}
	for _, e := range r.Committed {
		if e.GetIndex() != h.index+1 {
			c.fault("%s applies %d after %d", h.id, e.GetIndex(), h.index)
		}
		h.index = e.GetIndex()
		if k := e.GetCommand(); k != nil {
			h.applied = append(h.applied, string(k))
		}
		if old := c.committed[e.GetIndex()]; old != nil && !proto.Equal(old, e) {
			c.fault("entry %d was committed as %v and as %v", e.GetIndex(), old, e)
		}
		c.committed[e.GetIndex()] = e
		c.newest = max(c.newest, e.GetIndex())
	}
	for _, k := range r.Reads {
		want, asked := h.reads[k.Number]
		if asked && k.Index < want {
			c.fault("read %d of %s saw up to %d, and %d was committed before it", k.Number, h.id, k.Index, want)
		}
		h.done[k.Number] = k.Index
	}
}

// check looks at what one step changed.
func (c *cluster) check(h *host) {
	if h.node == nil {
		return
	}
	s := h.node.Status(c.now)
	if s.Role != Leader {
		return
	}
	if other, ok := c.leaders[s.Term]; ok && other != h.id {
		c.fault("%s and %s lead term %d", other, h.id, s.Term)
	}
	if _, ok := c.leaders[s.Term]; ok {
		return
	}
	c.leaders[s.Term] = h.id
	for i, e := range c.committed {
		if t, ok := h.node.log.term(i); i > h.node.log.snapshot.GetIndex() && (!ok || t != e.GetTerm()) {
			c.fault("leader %s of term %d lacks committed entry %d", h.id, s.Term, i)
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

// deliver hands one message to its host, unless the way is cut. An identity
// whose disk is lost gets nothing, but the host in its place still hears what
// was meant for it, as on a real network.
func (c *cluster) deliver(m *replicav1.Message) {
	name := strings.TrimRight(m.GetTo(), "0123456789")
	h := c.hosts[name]
	from := strings.TrimRight(m.GetFrom(), "0123456789")
	if h == nil || h.node == nil || c.cuts[from+">"+name] {
		return
	}
	h.node.Step(c.now, m)
	c.settle(h)
	c.check(h)
}

// elapse runs ticks and deliveries for a time.
func (c *cluster) elapse(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(testTick)
		for _, name := range c.names() {
			if h := c.hosts[name]; h.node != nil && !h.frozen {
				h.node.Tick(c.now)
				c.settle(h)
				c.check(h)
			}
		}
		for range 8 {
			c.exchange()
		}
	}
}

// exchange delivers what is under way; messages to frozen hosts stay.
func (c *cluster) exchange() {
	all := c.network
	c.network = nil
	for _, m := range all {
		if h := c.hosts[strings.TrimRight(m.GetTo(), "0123456789")]; h != nil && h.frozen {
			c.network = append(c.network, m)
			continue
		}
		c.deliver(m)
	}
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

// compact takes a snapshot of what a host has applied.
func (c *cluster) compact(h *host) {
	if h.index <= h.node.log.snapshot.GetIndex() {
		return
	}
	s := &replicav1.Snapshot{
		Index: h.index, Term: h.node.Term(h.index), Configuration: h.node.Configuration(h.index),
		State: []byte(strings.Join(h.applied, " ")),
	}
	h.node.Compact(s, testKeep)
	h.disk.Snapshot = s
	h.disk.Entries = append([]*replicav1.Entry(nil), h.node.Retained()...)
}

// read starts a quorum-confirmed read that must see all that is committed.
func (c *cluster) read(h *host) (uint64, error) {
	c.reads++
	h.reads[c.reads] = c.newest
	err := h.node.Read(c.now, c.reads)
	c.settle(h)
	return c.reads, err
}
