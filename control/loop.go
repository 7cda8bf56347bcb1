package control

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	controlv1 "ebonyreel/proto/control/v1"
	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/replica"
	"ebonyreel/writeahead"
)

const (
	electionTimeout = 700 * time.Millisecond
	// firstElection is long enough for the other hosts to listen when all start
	// at once, and several round trips and syncs of the disk.
	firstElection     = 500 * time.Millisecond
	heartbeatInterval = 100 * time.Millisecond
	tickInterval      = 25 * time.Millisecond
	// inputRing is the number of inputs that may wait for the loop, and
	// batchInputs how many of them share one sync of the disk.
	inputRing   = 4096
	batchInputs = 1024
	appendBytes = 1 << 20
	// fullPause is the time between tries to write to a full disk.
	fullPause = 50 * time.Millisecond
	// voterTimeout is the silence after which a voter's place goes to a host that
	// waits for one. A successor has to count within 4 s of its start.
	voterTimeout = 2 * time.Second
	// compactEntries is how many entries are applied between snapshots, and
	// keptEntries how many of them stay for slow followers.
	compactEntries = 20_000
	keptEntries    = 2_000
)

// input is something that the loop takes in.
type input interface {
	enter(l *loop, now time.Time)
}

// outcome is what became of a command.
type outcome struct {
	answer proto.Message
	err    error
}

// waiter waits for the command at an index.
type waiter struct {
	term  uint64
	reply chan outcome
}

// read waits until an index is applied.
type read struct {
	index uint64
	reply chan error
}

// loop owns the replica and its write-ahead log: one goroutine.
type loop struct {
	store *Store
	node  *replica.Node
	disk  *writeahead.Log
	peers *peers
	log   *logrus.Entry
	// applied is the index up to which the state has applied the log, and
	// compacted that of the last snapshot.
	applied   uint64
	compacted uint64
	// writing is a snapshot on its way to the disk, or nil.
	writing *snapshotWrite
	// waiters is keyed by index.
	waiters map[uint64]waiter
	// asked is keyed by the number of a read; confirmed wait to be applied.
	asked     map[uint64]chan error
	confirmed []read
	nextRead  uint64
	// led is the term in which members were granted full leases.
	led  uint64
	last replica.Status
}

// run takes in inputs until the context ends. The error says why the process
// must end.
func (l *loop) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case in := <-l.store.inputs:
			in.enter(l, time.Now())
			l.drain()
		case err := <-l.writes():
			if err := l.written(err); err != nil {
				return err
			}
		}
		l.node.Tick(time.Now())
		l.retire(time.Now())
		if err := l.settle(ctx); err != nil {
			return err
		}
	}
}

// drain takes in what else waits, so that it shares one sync.
func (l *loop) drain() {
	for range batchInputs {
		select {
		case in := <-l.store.inputs:
			in.enter(l, time.Now())
		default:
			return
		}
	}
}

// settle carries out the effects of the replica until there are none.
func (l *loop) settle(ctx context.Context) error {
	for {
		r := l.node.Ready()
		if r.Empty() {
			break
		}
		l.peers.send(l, r.Early)
		if err := l.save(ctx, &r); err != nil {
			return err
		}
		l.peers.send(l, r.Late)
		if err := l.apply(&r); err != nil {
			return err
		}
	}
	l.observe(time.Now())
	return l.compact()
}

// save puts the state of the replica on the disk. A full disk holds up the
// whole host, which is then as good as down for the others.
func (l *loop) save(ctx context.Context, r *replica.Ready) error {
	if !r.MustSync() {
		return nil
	}
	if err := l.persist(ctx, func() error { return l.saveSnapshot(r) }); err != nil {
		return err
	}
	if err := l.persist(ctx, func() error { return l.disk.Save(r.State, r.Entries) }); err != nil {
		return err
	}
	l.node.Saved()
	return nil
}

func (l *loop) saveSnapshot(r *replica.Ready) error {
	if r.Snapshot == nil {
		return nil
	}
	if err := l.awaitSnapshot(); err != nil {
		return err
	}
	if err := l.disk.Compact(r.Snapshot, l.node.HardState(), nil); err != nil {
		return err
	}
	l.compacted = r.Snapshot.GetIndex()
	return nil
}

// persist writes until the disk has room.
func (l *loop) persist(ctx context.Context, write func() error) error {
	for tries := 0; ; tries++ {
		err := write()
		var full *writeahead.FullError
		if !errors.As(err, &full) {
			if tries > 0 && err == nil {
				l.log.WithField("Tries", tries).Info("disk has room again")
			}
			return err
		}
		if tries == 0 {
			l.log.WithError(err).Error("disk is full, nothing is accepted here")
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(fullPause):
		}
	}
}

func (l *loop) apply(r *replica.Ready) error {
	if r.Snapshot != nil {
		if err := l.store.restore(r.Snapshot.GetState()); err != nil {
			return err
		}
		l.applied = r.Snapshot.GetIndex()
	}
	for _, e := range r.Committed {
		if err := l.applyEntry(e); err != nil {
			return err
		}
	}
	if len(r.Committed) > 0 || r.Snapshot != nil {
		l.store.notify()
	}
	for _, k := range r.Reads {
		if reply, ok := l.asked[k.Number]; ok {
			delete(l.asked, k.Number)
			l.confirmed = append(l.confirmed, read{index: k.Index, reply: reply})
		}
	}
	l.answerReads()
	return nil
}

func (l *loop) applyEntry(e *replicav1.Entry) error {
	l.applied = e.GetIndex()
	var out outcome
	if b := e.GetCommand(); b != nil {
		c := &controlv1.Command{}
		if err := proto.Unmarshal(b, c); err != nil {
			return err
		}
		out.answer, out.err = l.store.apply(c)
	}
	if w, ok := l.waiters[e.GetIndex()]; ok {
		delete(l.waiters, e.GetIndex())
		if w.term != e.GetTerm() {
			out = outcome{err: l.notLeader()}
		}
		w.reply <- out
	}
	return nil
}

// answerReads answers the confirmed reads whose index is applied.
func (l *loop) answerReads() {
	rest := l.confirmed[:0]
	for _, r := range l.confirmed {
		if r.index > l.applied {
			rest = append(rest, r)
			continue
		}
		r.reply <- nil
	}
	l.confirmed = rest
}

// observe looks at what the replica knows of itself, and publishes it.
func (l *loop) observe(now time.Time) {
	s := l.node.Status(now)
	lost := s.Term != l.last.Term || s.Leader != l.last.Leader
	l.last = s
	if lost {
		l.log.WithFields(logrus.Fields{"Term": s.Term, "Role": s.Role.String(), "Leader": l.peers.name(s.Leader)}).Info("leadership changed")
		l.fail()
	}
	leads := s.Role == replica.Leader && l.node.Term(l.applied) == s.Term
	if leads && l.led != s.Term {
		l.led = s.Term
		l.store.grant(now)
	}
	l.store.publishStatus(now, s, leads, l.peers.address(l.peers.name(s.Leader)))
}

// fail tells all who wait that the outcome of their call is not known here.
func (l *loop) fail() {
	for i, w := range l.waiters {
		w.reply <- outcome{err: l.notLeader()}
		delete(l.waiters, i)
	}
	for n, reply := range l.asked {
		reply <- l.notLeader()
		delete(l.asked, n)
	}
}

// retire removes a server whose host is no longer listed or silent, once its
// replacement counts.
func (l *loop) retire(now time.Time) {
	if l.last.Role != replica.Leader || l.voters() <= l.store.voters {
		return
	}
	for _, s := range l.last.Configuration.GetServers() {
		silent := len(l.peers.fixed) == 0 && !s.GetLearner() && l.node.Silence(s.GetId()) >= voterTimeout
		if l.peers.listed(s.GetName()) && !silent {
			continue
		}
		if l.node.Change(now, replica.Remove, s) == nil {
			l.log.WithField("Name", s.GetName()).Info("host retired")
		}
		return
	}
}

func (l *loop) notLeader() error {
	return &NotLeaderError{Address: l.peers.address(l.peers.name(l.last.Leader))}
}

// compact takes a snapshot once enough entries have been applied. It is written
// beside the loop, which goes on with the old segment meanwhile.
func (l *loop) compact() error {
	if l.writing != nil || l.applied < l.compacted+compactEntries {
		return nil
	}
	b, err := l.store.snapshot()
	if err != nil {
		return err
	}
	s := &replicav1.Snapshot{
		Index: l.applied, Term: l.node.Term(l.applied), Configuration: l.node.Configuration(l.applied), State: b,
	}
	l.compacted = l.applied
	w := &snapshotWrite{snapshot: s, done: make(chan error, 1)}
	l.writing = w
	go func() { w.done <- l.disk.SaveSnapshot(s) }()
	return nil
}

// snapshotWrite is a snapshot on its way to the disk.
type snapshotWrite struct {
	snapshot *replicav1.Snapshot
	// done has room for the one outcome.
	done chan error
}

// written cuts the log once its snapshot is on the disk.
func (l *loop) written(err error) error {
	s := l.writing.snapshot
	l.writing = nil
	var full *writeahead.FullError
	if errors.As(err, &full) {
		l.log.WithError(err).Warn("snapshot not written, the log goes on")
		return nil
	}
	if err != nil {
		return err
	}
	l.node.Compact(s, keptEntries)
	err = l.disk.Begin(l.node.HardState(), l.node.Retained())
	if errors.As(err, &full) {
		l.log.WithError(err).Warn("segment not begun, the old one goes on")
		return nil
	}
	return err
}

// awaitSnapshot waits for a snapshot on its way to the disk.
func (l *loop) awaitSnapshot() error {
	if l.writing == nil {
		return nil
	}
	return l.written(<-l.writing.done)
}

// writes returns the channel of a snapshot on its way, or nil.
func (l *loop) writes() <-chan error {
	if l.writing == nil {
		return nil
	}
	return l.writing.done
}
