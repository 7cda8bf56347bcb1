package control

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"ebonyreel/lease"
	controlv1 "ebonyreel/proto/control/v1"
	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/replica"
	"ebonyreel/settings"
	"ebonyreel/state"
	"ebonyreel/writeahead"
)

const (
	// expiryInterval is the time between looks for lapsed members.
	expiryInterval = 250 * time.Millisecond
	// touchTimeout is how long watches are served without a sign of a leader,
	// which comes ten times a second. A document has to be in force everywhere
	// within 2 s of its acceptance, also beside a host that is cut off.
	touchTimeout = time.Second
)

// Status is what a control host knows of itself.
type Status struct {
	// Leads is true once the host leads and has applied all that was
	// committed before its term.
	Leads bool
	// Leader is the name of the leading host; empty for none.
	Leader string
	// Address is where the leader is reached; the zero value for none.
	Address netip.AddrPort
	// Empty is true while the host has no state and knows of no other host.
	Empty bool
	// Voter is true while the host counts in the quorum.
	Voter bool
	// Servers are the names of the hosts that count in the quorum.
	Servers []string
	// Controls are the addresses of all hosts in the configuration.
	Controls []netip.AddrPort
	Term     uint64
	Commit   uint64
	// touched is when the host was last in touch with a quorum's leader.
	touched time.Time
}

// Store applies the commands of the replicated log to the state and lets
// watchers wait for changes. It keeps the leases of members in memory only: a
// new leader grants every member a full lease.
type Store struct {
	// id, peers and inputs do not change. voters is the number of hosts that
	// count once all are there, and founders the number that must have counted
	// before the first command.
	id       string
	voters   int
	founders int
	// bootstrap is true where this host may begin the log.
	bootstrap bool
	peers     *peers
	inputs    chan input
	loop      *loop
	// dropped counts messages for hosts whose rings were full.
	dropped atomic.Uint64

	mu sync.Mutex
	// state is guarded by mu.
	state *state.State
	// leases is guarded by mu and keyed by member key.
	leases lease.Table
	// endpointLeases and heard are guarded by mu and keyed by endpoint key.
	endpointLeases lease.Table
	heard          map[string]lastAnnouncement
	// uses is guarded by mu and keyed by member key.
	uses map[string]reported
	// changed is guarded by mu; it is closed with each published change.
	changed chan struct{}
	// status is guarded by mu.
	status Status
	// done is closed when the store stops.
	done chan struct{}
	// once guards done.
	once sync.Once
}

// Open reads the data folder of a control host. A folder with rot in it is set
// aside if other hosts can bring this one up again.
func Open(s settings.Control, h *http.Client, log *logrus.Entry, opts ...connect.ClientOption) (*Store, error) {
	j, c, err := writeahead.Open(s.DataFolder)
	var rot *writeahead.RotError
	if errors.As(err, &rot) && len(s.Cluster) > 1 {
		log.WithError(err).Error("data folder set aside, the host joins anew")
		if err = writeahead.SetAside(s.DataFolder); err != nil {
			return nil, err
		}
		j, c, err = writeahead.Open(s.DataFolder)
	}
	if err != nil {
		return nil, err
	}
	st := &Store{
		id:        c.ID,
		voters:    voters(s),
		founders:  founders(s),
		bootstrap: len(s.Cluster) > 0 || s.Bootstrap,
		peers:     newPeers(c.ID, s, h, opts...),
		inputs:    make(chan input, inputRing),
		state:     state.New(s.WatchHistory),
		heard:     map[string]lastAnnouncement{},
		uses:      map[string]reported{},
		changed:   make(chan struct{}),
		done:      make(chan struct{}),
	}
	if err := st.restore(c.Snapshot.GetState()); err != nil {
		return nil, err
	}
	st.loop = newLoop(st, j, c, log)
	return st, nil
}

func newLoop(s *Store, j *writeahead.Log, c *writeahead.Content, log *logrus.Entry) *loop {
	o := replica.Options{
		ID: c.ID, ElectionTimeout: electionTimeout, FirstElection: firstElection, HeartbeatInterval: heartbeatInterval, AppendBytes: appendBytes,
		Random: func(d time.Duration) time.Duration { return rand.N(d) },
	}
	l := &loop{
		store: s, disk: j, peers: s.peers, log: log,
		applied: c.Snapshot.GetIndex(), compacted: c.Snapshot.GetIndex(),
		waiters: map[uint64]waiter{}, asked: map[uint64]chan error{}, nextRead: rand.Uint64(),
	}
	l.node = replica.New(o, replica.Stored{State: c.State, Snapshot: c.Snapshot, Entries: c.Entries}, time.Now())
	l.peers.resolve(l)
	l.observe(time.Now())
	return l
}

// Run takes part in the replication until the context ends. The error says why
// the process must end.
func (s *Store) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.peers.start(ctx)
	go s.join(ctx)
	go s.expireAll(ctx)
	defer func() { _ = s.loop.disk.Close() }()
	return s.loop.run(ctx)
}

// enter hands an input to the loop, or refuses it when too many wait.
func (s *Store) enter(in input) error {
	select {
	case s.inputs <- in:
		return nil
	default:
		return &replica.BusyError{Reason: "too many inputs wait"}
	}
}

// Propose commits a command and returns its answer. The error is a
// *NotLeaderError on a host that does not lead; the command may still come
// into force, and may be sent again.
func (s *Store) Propose(ctx context.Context, c *controlv1.Command) (proto.Message, error) {
	p := &proposal{command: c, reply: make(chan outcome, 1)}
	if err := s.enter(p); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.done:
		return nil, &ClosedError{}
	case o := <-p.reply:
		return o.answer, o.err
	}
}

// Confirm returns once a quorum has confirmed that the state is current.
func (s *Store) Confirm(ctx context.Context) error {
	c := &confirmation{reply: make(chan error, 1)}
	if err := s.enter(c); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return &ClosedError{}
	case err := <-c.reply:
		return err
	}
}

// Seed takes in the addresses where other control hosts are looked for.
func (s *Store) Seed(seeds []netip.AddrPort) {
	s.peers.seed(seeds)
}

// Status returns what the host knows of itself.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// InTouch reports whether the host had a sign of a leader lately. A host that
// was frozen has not, whatever it knew before.
func (s *Store) InTouch() bool {
	return time.Since(s.Status().touched) < touchTimeout
}

// voters is the number of hosts that count once all are there.
func voters(s settings.Control) int {
	if len(s.Cluster) > 0 {
		return len(s.Cluster)
	}
	return 2*s.Tolerates + 1
}

// founders is the number of hosts that must count before the first command:
// with fewer, the loss of a disk could be the loss of everything.
func founders(s settings.Control) int {
	if len(s.Cluster) > 0 {
		return len(s.Cluster)/2 + 1
	}
	return voters(s)
}

// used reports whether the log has had a command.
func (s *Store) used() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision() > 0
}

// Controls returns the addresses of the control hosts in the configuration,
// as far as they are known.
func (s *Store) Controls() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Controls
}

func (s *Store) publishStatus(now time.Time, r replica.Status, leads bool, leader netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	touched := s.status.touched
	if r.InTouch {
		touched = now
	}
	s.status = Status{
		Leads: leads, Leader: s.peers.name(r.Leader), Address: leader, Empty: len(r.Configuration.GetServers()) == 0,
		Voter: s.counts(r.Configuration), Servers: voterNames(r.Configuration), Controls: s.addresses(r.Configuration), Term: r.Term, Commit: r.Commit, touched: touched,
	}
}

func (s *Store) counts(c *replicav1.Configuration) bool {
	for _, o := range c.GetServers() {
		if o.GetId() == s.id {
			return !o.GetLearner()
		}
	}
	return false
}

func (s *Store) addresses(c *replicav1.Configuration) []netip.AddrPort {
	var out []netip.AddrPort
	for _, o := range c.GetServers() {
		if a := s.peers.address(o.GetName()); a.IsValid() {
			out = append(out, a)
		}
	}
	return out
}

func voterNames(c *replicav1.Configuration) []string {
	var out []string
	for _, o := range c.GetServers() {
		if !o.GetLearner() {
			out = append(out, o.GetName())
		}
	}
	return out
}

// apply carries out a committed command.
func (s *Store) apply(c *controlv1.Command) (proto.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Apply(c)
}

// notify wakes the watchers.
func (s *Store) notify() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) snapshot() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return proto.MarshalOptions{Deterministic: true}.Marshal(s.state.Snapshot())
}

func (s *Store) restore(b []byte) error {
	from := &controlv1.Snapshot{}
	if err := proto.Unmarshal(b, from); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Restore(from)
}

// List returns the items of a range at one revision.
func (s *Store) List(r state.Range) ([]*controlv1.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.List(r)
}

// Since returns the events of a range from a revision on.
func (s *Store) Since(r state.Range, from uint64) ([]*controlv1.Event, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Since(r, from)
}

// Documents returns the accepted documents of an environment.
func (s *Store) Documents(environment string) []*controlv1.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Documents(environment)
}

// Changed returns a channel that is closed with the next published change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Done is closed when the store stops.
func (s *Store) Done() <-chan struct{} {
	return s.done
}

// Close ends all watches and calls that wait.
func (s *Store) Close() {
	s.once.Do(func() { close(s.done) })
}
