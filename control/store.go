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
	// leaseCheckInterval is the time between checks for expired leases.
	leaseCheckInterval = 250 * time.Millisecond
	// leaderContactTimeout is how long watches are served without contact with a
	// leader, whose heartbeats come ten times a second, or by a host that is behind.
	// A document has to be in force everywhere within 2 s of its acceptance, also at
	// processes that watch a host that is cut off.
	leaderContactTimeout = time.Second
)

// Status is a control host's view of itself and of the replication.
type Status struct {
	// Leads is true once the host leads and has applied all entries that were
	// committed before its term.
	Leads bool
	// Leader is the name of the leading host; empty for none.
	Leader string
	// Address is the leader's address; the zero value if none is known.
	Address netip.AddrPort
	// Empty is true while the host has no configuration, and so neither state nor
	// other hosts.
	Empty bool
	// Voter is true while the host is a voter in the newest configuration that is known
	// to be committed.
	Voter bool
	// Servers are the names of the hosts that are voters in that configuration, and
	// Learners those of the others.
	Servers  []string
	Learners []string
	// Controls are the known addresses of the hosts in the configuration, learners
	// included.
	Controls []netip.AddrPort
	// Term is the current term, and Commit the index of the last committed entry.
	Term   uint64
	Commit uint64
	// LogBytes is the size of the log in memory, and SnapshotBytes that of the newest
	// snapshot.
	LogBytes      int
	SnapshotBytes int
	// lastContact is when the host last had contact with the leader or, while it
	// leads, with a quorum.
	lastContact time.Time
	// heardAt maps the name of each other host in the configuration to when this host, as
	// the leader, last heard it; empty while it does not lead.
	heardAt map[string]time.Time
	// currentAt is the latest time at which the state is known to have been current.
	currentAt time.Time
}

// Store applies the commands of the replicated log to the state and lets
// watchers wait for changes. It keeps the leases of members and endpoints in
// memory only: a new leader grants each of them a full lease. It is safe for
// concurrent use.
type Store struct {
	// id is the server ID of this host. targetVoters is the number of voters once
	// all hosts have joined, and minInitialVoters the number of voters that the
	// first command needs. None of the fields above mu change, except
	// joinAddress, droppedMessages and diskWaits.
	id               string
	targetVoters     int
	minInitialVoters int
	// mayBootstrap is true if this host may bootstrap a new log.
	mayBootstrap bool
	peers        *peers
	inputs       *inputQueue
	loop         *loop
	// joinAddress is the address of the host that answered the last request to join
	// without an error; the zero value for none. Only runJoin uses it.
	joinAddress netip.AddrPort
	// droppedMessages counts messages for hosts that were unknown or whose queues
	// were full.
	droppedMessages atomic.Uint64
	// diskWaits are the times that the loop waits for its disk.
	diskWaits recentMaximum
	// parts joins the requests that other hosts send in parts.
	parts partJoiner

	mu sync.Mutex
	// state is guarded by mu.
	state *state.State
	// leases is guarded by mu and keyed by member key.
	leases lease.Table
	// endpointLeases and lastAnnouncements are guarded by mu and keyed by
	// endpoint key.
	endpointLeases    lease.Table
	lastAnnouncements map[string]lastAnnouncement
	// memberReports and estimates are guarded by mu; the first is keyed by member
	// key, and the second by environment.
	memberReports map[string]memberReport
	estimates     map[string][]*controlv1.PoolEstimate
	// statements are what endpoints said of themselves, by environment.
	statements map[string]*statements
	// changed is guarded by mu; it is closed and replaced after each change.
	changed chan struct{}
	// status is guarded by mu.
	status Status
	// done is closed when the store stops.
	done      chan struct{}
	closeOnce sync.Once
}

// Open reads the data folder of a control host. While the disk is full it tries again,
// until the context ends. A damaged folder is moved aside if the settings list other
// hosts, from which this one can copy the state.
func Open(ctx context.Context, s settings.Control, h *http.Client, log *logrus.Entry, options ...connect.ClientOption) (*Store, error) {
	return openFolder(ctx, writeahead.Folder{Path: s.DataFolder}, s, h, log, options...)
}

func openFolder(
	ctx context.Context, f writeahead.Folder, s settings.Control, h *http.Client, log *logrus.Entry, options ...connect.ClientOption,
) (*Store, error) {
	var wal *writeahead.Log
	var content *writeahead.Content
	err := retryWhileDiskFull(ctx, log, func() error {
		var err error
		wal, content, err = readFolder(f, len(s.Cluster) > 1, log)
		return err
	})
	if err != nil {
		return nil, err
	}
	st := &Store{
		id:                content.ID,
		targetVoters:      targetVoters(s),
		minInitialVoters:  minInitialVoters(s),
		mayBootstrap:      len(s.Cluster) > 0 || s.Bootstrap,
		peers:             newPeers(content.ID, s, h, options...),
		inputs:            newInputQueue(),
		state:             state.New(s.WatchHistory),
		lastAnnouncements: map[string]lastAnnouncement{},
		memberReports:     map[string]memberReport{},
		statements:        map[string]*statements{},
		estimates:         map[string][]*controlv1.PoolEstimate{},
		changed:           make(chan struct{}),
		done:              make(chan struct{}),
	}
	st.peers.partDelivered = func(server string) { _ = st.inputs.add(&partDelivered{server: server}) }
	if err := st.restore(content.Snapshot.GetState()); err != nil {
		return nil, err
	}
	st.loop = newLoop(st, wal, content, log)
	return st, nil
}

// readFolder opens a data folder. With replaceDamaged, a damaged one is moved aside.
func readFolder(f writeahead.Folder, replaceDamaged bool, log *logrus.Entry) (*writeahead.Log, *writeahead.Content, error) {
	wal, content, err := writeahead.Open(f)
	var damaged *writeahead.CorruptionError
	if errors.As(err, &damaged) && replaceDamaged {
		log.WithError(err).Error("data folder set aside, the host joins anew")
		if err = writeahead.SetAside(f); err != nil {
			return nil, nil, err
		}
		return writeahead.Open(f)
	}
	return wal, content, err
}

func newLoop(s *Store, wal *writeahead.Log, content *writeahead.Content, log *logrus.Entry) *loop {
	options := replica.Options{
		ID: content.ID, ElectionTimeout: electionTimeout, FirstElection: firstElectionTimeout, HeartbeatInterval: heartbeatInterval,
		AppendBytes: maxAppendBytes, InFlightBytes: maxInFlightBytes,
		Random: func(d time.Duration) time.Duration { return rand.N(d) },
	}
	l := &loop{
		store: s, wal: wal, peers: s.peers, log: log,
		applied: content.Snapshot.GetIndex(), compacted: content.Snapshot.GetIndex(), snapshotBytes: len(content.Snapshot.GetState()),
		pendingProposals: map[uint64]pendingProposal{}, pendingReads: map[uint64]chan error{}, lastReadNumber: rand.Uint64(),
	}
	l.node = replica.New(options, replica.Stored{State: content.State, Snapshot: content.Snapshot, Entries: content.Entries}, time.Now())
	l.peers.learnConfiguration(l)
	l.updateStatus(time.Now())
	return l
}

// Run takes part in the replication until the context ends. After an error the
// process must end.
func (s *Store) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.peers.start(ctx)
	go s.runJoin(ctx)
	go s.runExpiry(ctx)
	defer func() { _ = s.loop.wal.Close() }()
	return s.loop.run(ctx)
}

// Propose commits and applies a command, and returns its response. The error is
// a *NotLeaderError on a host that does not lead. After an error of the
// replication the command may still take effect, and it may be proposed again.
func (s *Store) Propose(ctx context.Context, c *controlv1.Command) (proto.Message, error) {
	p := &proposal{done: ctx.Done(), command: c, reply: make(chan commandResult, 1)}
	if err := s.inputs.add(p); err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-s.done:
		return nil, &ClosedError{}
	case result := <-p.reply:
		return result.response, result.err
	}
}

// Confirm returns nil once a quorum has confirmed that the state is current.
func (s *Store) Confirm(ctx context.Context) error {
	r := &readRequest{reply: make(chan error, 1)}
	if err := s.inputs.add(r); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-s.done:
		return &ClosedError{}
	case err := <-r.reply:
		return err
	}
}

// SetSeeds replaces the addresses at which other control hosts may be found.
func (s *Store) SetSeeds(seeds []netip.AddrPort) {
	s.peers.setSeeds(seeds)
}

// Status returns the newest status of the host. A host without contact knows no leader,
// and does not lead: while it waits for its disk, another one may have been elected.
func (s *Store) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.status
	if !out.hasContact() {
		out.Leads, out.Leader, out.Address = false, "", netip.AddrPort{}
	}
	return out
}

func (s *Status) hasContact() bool {
	return time.Since(s.lastContact) < leaderContactTimeout
}

// HasContact reports whether the host had contact with the leader or, as the
// leader, with a quorum within leaderContactTimeout. It is false at once when a
// process wakes that was frozen for longer, whatever its status says.
func (s *Store) HasContact() bool {
	st := s.Status()
	return st.hasContact()
}

// IsCurrent reports whether the state was current within leaderContactTimeout. Contact
// with the leader is not enough: entries or a snapshot may still be on their way.
func (s *Store) IsCurrent() bool {
	return time.Since(s.Status().currentAt) < leaderContactTimeout
}

// targetVoters returns the number of voters once all hosts have joined.
func targetVoters(s settings.Control) int {
	if len(s.Cluster) > 0 {
		return len(s.Cluster)
	}
	return 2*s.Tolerates + 1
}

// minInitialVoters returns the number of voters that the first command needs.
// With fewer, the loss of one disk could lose the whole state.
func minInitialVoters(s settings.Control) int {
	if len(s.Cluster) > 0 {
		return len(s.Cluster)/2 + 1
	}
	return targetVoters(s)
}

// hasCommands reports whether any command has published a change.
func (s *Store) hasCommands() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision() > 0
}

// Controls returns the known addresses of the control hosts in the
// configuration.
func (s *Store) Controls() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status.Controls
}

func (s *Store) publishStatus(now time.Time, r replica.Status, leads bool, leader netip.AddrPort, heardAt map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastContact := s.status.lastContact
	if r.HasContact {
		lastContact = now
	}
	s.status = Status{
		Leads: leads, Leader: s.peers.hostName(r.Leader), Address: leader, Empty: len(r.Configuration.GetServers()) == 0,
		Voter: s.isVoter(r.CommittedConfiguration), Servers: serverNames(r.CommittedConfiguration, false),
		Learners: serverNames(r.CommittedConfiguration, true),
		Controls: s.hostAddresses(r.Configuration),
		Term:     r.Term, Commit: r.Commit, LogBytes: r.LogBytes, SnapshotBytes: r.SnapshotBytes, lastContact: lastContact,
		heardAt: heardAt, currentAt: r.CurrentAt,
	}
}

func (s *Store) isVoter(c *replicav1.Configuration) bool {
	for _, o := range c.GetServers() {
		if o.GetId() == s.id {
			return !o.GetLearner()
		}
	}
	return false
}

func (s *Store) hostAddresses(c *replicav1.Configuration) []netip.AddrPort {
	var out []netip.AddrPort
	for _, o := range c.GetServers() {
		if a := s.peers.address(o.GetName()); a.IsValid() {
			out = append(out, a)
		}
	}
	return out
}

// serverNames returns the names of the learners, or of the voters.
func serverNames(c *replicav1.Configuration, learners bool) []string {
	var out []string
	for _, o := range c.GetServers() {
		if o.GetLearner() == learners {
			out = append(out, o.GetName())
		}
	}
	return out
}

// apply applies a committed command to the state.
func (s *Store) apply(c *controlv1.Command) (proto.Message, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Apply(c)
}

// notify wakes the watchers after a change.
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

// List returns the items of a range, sorted by key, and their revision.
func (s *Store) List(r state.Range) ([]*controlv1.Item, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.List(r)
}

// EventsSince returns the events of a range from a revision on, and the
// revision up to which they are complete. The error is a *state.CompactedError
// if some of them are no longer kept.
func (s *Store) EventsSince(r state.Range, from uint64) ([]*controlv1.Event, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.EventsSince(r, from)
}

// Documents returns the accepted documents of an environment, oldest first.
func (s *Store) Documents(environment string) []*controlv1.Document {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Documents(environment)
}

// Changed returns a channel that is closed after the next change.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Done returns a channel that is closed by Close.
func (s *Store) Done() <-chan struct{} {
	return s.done
}

// Close ends all watches and waiting calls. It may be called more than once.
func (s *Store) Close() {
	s.closeOnce.Do(func() { close(s.done) })
}
