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
	// firstElectionTimeout bounds the random wait of a host that has just started
	// before its first campaign. It leaves the other hosts time to listen when
	// all start at once, and covers several round trips and disk syncs.
	firstElectionTimeout = 500 * time.Millisecond
	heartbeatInterval    = 100 * time.Millisecond
	tickInterval         = 25 * time.Millisecond
	// maxBatchInputs is the number of inputs that may share one disk sync.
	maxBatchInputs = 1024
	// maxAppendBytes bounds the entries of one append message, beyond the first.
	maxAppendBytes = 1 << 20
	// diskFullRetryInterval is the time between attempts to write to a full disk.
	diskFullRetryInterval = 50 * time.Millisecond
	// voterTimeout is how long the leader may be without contact with a voter
	// before a waiting host replaces it. A replacement has to become a voter within
	// 4 s of its start.
	voterTimeout = 2 * time.Second
	// snapshotEntries is the number of entries that are applied between snapshots,
	// and minSnapshotBytes the size of them where the state is smaller than that.
	snapshotEntries  = 20_000
	minSnapshotBytes = 8 << 20
	// compactionRetryInterval is the time between attempts to compact the log on a
	// full disk.
	compactionRetryInterval = time.Second
	// maxInFlightBytes bounds the entries that another host has not acknowledged.
	maxInFlightBytes = 8 << 20
	// maxUncommittedBytes bounds the entries that no quorum has acknowledged.
	maxUncommittedBytes = 16 << 20
)

// retained bounds the entries that a snapshot covers and that are kept for slow
// followers.
var retained = replica.Retention{Entries: 2_000, Bytes: 2 << 20}

// commandResult is the result of a proposed command.
type commandResult struct {
	response proto.Message
	err      error
}

// pendingProposal is a proposal whose entry has not been applied yet.
type pendingProposal struct {
	// term is the term in which the entry was appended.
	term uint64
	// reply has room for the one result.
	reply chan commandResult
}

// confirmedRead is a read that a quorum has confirmed and that waits until the
// entry at index is applied.
type confirmedRead struct {
	index uint64
	reply chan error
}

// loop owns the replica and its write-ahead log. All its methods run in one
// goroutine.
type loop struct {
	store *Store
	node  *replica.Node
	wal   *writeahead.Log
	peers *peers
	log   *logrus.Entry
	// applied is the index of the last applied entry, and compacted the index of
	// the last snapshot. snapshotBytes is the size of that snapshot.
	applied       uint64
	compacted     uint64
	snapshotBytes int
	// pendingSnapshot is the snapshot that is being written to the disk, or nil.
	pendingSnapshot *snapshotWrite
	// segmentOutdated is true while the segment also holds entries that were compacted
	// away, as the disk had no room for a new one.
	segmentOutdated bool
	// nextCompaction is the earliest time of the next compaction.
	nextCompaction time.Time
	// pendingProposals is keyed by log index.
	pendingProposals map[uint64]pendingProposal
	// pendingReads are the reads that no quorum has confirmed yet, keyed by read
	// number.
	pendingReads   map[uint64]chan error
	confirmedReads []confirmedRead
	lastReadNumber uint64
	// leasesTerm is the last term in which this host, as the leader, granted full
	// leases to all members and endpoints.
	leasesTerm uint64
	lastStatus replica.Status
	// lastDiskWait is how long the loop last waited for its disk, and lastWaitWarning when
	// it last warned that an input had waited for long.
	lastDiskWait    time.Duration
	lastWaitWarning time.Time
	// nextLearnerRemoval is the earliest time at which another learner is removed.
	nextLearnerRemoval time.Time
}

// run handles inputs until the context ends. After an error the process must
// end.
func (l *loop) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case q := <-l.store.inputs.waiting:
			l.handle(q)
		case err := <-l.snapshotDone():
			if err := l.finishSnapshot(err); err != nil {
				return err
			}
		}
		l.advance()
		if err := l.processReady(ctx); err != nil {
			return err
		}
	}
}

// advance handles the inputs that are already queued and advances the clock. After a
// stall of the loop, answers that came meanwhile count before the timeouts do.
func (l *loop) advance() {
	l.handleQueued()
	now := time.Now()
	l.node.Tick(now)
	l.retireServer(now)
	l.peers.update(now, l.lastStatus.Configuration)
}

// handleQueued handles the inputs that are already queued, so that they share
// one disk sync.
func (l *loop) handleQueued() {
	for range maxBatchInputs {
		select {
		case q := <-l.store.inputs.waiting:
			l.handle(q)
		default:
			return
		}
	}
}

func (l *loop) handle(q queuedInput) {
	l.warnOfWait(l.store.inputs.remove(q))
	q.input.handle(l, time.Now())
}

// processReady carries out the effects of the replica until there are none.
func (l *loop) processReady(ctx context.Context) error {
	for {
		r := l.node.Ready()
		if r.Empty() {
			break
		}
		l.peers.send(l, r.BeforeSync)
		l.peers.sendReplication(l, r.Replication)
		if err := l.saveReady(ctx, &r); err != nil {
			return err
		}
		l.peers.send(l, r.AfterSync)
		if err := l.applyReady(&r); err != nil {
			return err
		}
	}
	l.updateStatus(time.Now())
	return l.compact()
}

// saveReady writes the state of the replica to the disk. A full disk blocks the
// whole loop, so the other hosts treat this one as down.
func (l *loop) saveReady(ctx context.Context, r *replica.Ready) error {
	if !r.MustSync() {
		return nil
	}
	defer l.recordDiskWait(time.Now())
	if err := retryWhileDiskFull(ctx, l.log, func() error { return l.saveSnapshot(r) }); err != nil {
		return err
	}
	if err := retryWhileDiskFull(ctx, l.log, func() error { return l.wal.Save(r.State, r.Entries) }); err != nil {
		return err
	}
	l.node.Saved()
	return nil
}

func (l *loop) saveSnapshot(r *replica.Ready) error {
	if r.Snapshot == nil {
		return nil
	}
	if err := l.abandonSnapshot(); err != nil {
		return err
	}
	if err := l.wal.Compact(r.Snapshot, l.node.HardState(), nil); err != nil {
		return err
	}
	l.compacted, l.snapshotBytes, l.segmentOutdated = r.Snapshot.GetIndex(), len(r.Snapshot.GetState()), false
	return nil
}

// retryWhileDiskFull calls write until the disk has room or the context ends.
func retryWhileDiskFull(ctx context.Context, log *logrus.Entry, write func() error) error {
	for attempts := 0; ; attempts++ {
		err := write()
		var full *writeahead.DiskFullError
		if !errors.As(err, &full) {
			if attempts > 0 && err == nil {
				log.WithField("Tries", attempts).Info("disk has room again")
			}
			return err
		}
		if attempts == 0 {
			log.WithError(err).Error("disk is full; this host accepts nothing until there is room")
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(diskFullRetryInterval):
		}
	}
}

func (l *loop) applyReady(r *replica.Ready) error {
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
		if reply, ok := l.pendingReads[k.Number]; ok {
			delete(l.pendingReads, k.Number)
			l.confirmedReads = append(l.confirmedReads, confirmedRead{index: k.Index, reply: reply})
		}
	}
	l.answerConfirmedReads()
	return nil
}

func (l *loop) applyEntry(e *replicav1.Entry) error {
	l.applied = e.GetIndex()
	var result commandResult
	if b := e.GetCommand(); b != nil {
		c := &controlv1.Command{}
		if err := proto.Unmarshal(b, c); err != nil {
			return err
		}
		result.response, result.err = l.store.apply(c)
		l.logSubmission(e, c.GetAccept(), result)
	}
	if p, ok := l.pendingProposals[e.GetIndex()]; ok {
		delete(l.pendingProposals, e.GetIndex())
		if p.term != e.GetTerm() {
			result = commandResult{err: l.notLeaderError()}
		}
		p.reply <- result
	}
	return nil
}

// answerConfirmedReads answers the confirmed reads whose index is applied.
func (l *loop) answerConfirmedReads() {
	unapplied := l.confirmedReads[:0]
	for _, r := range l.confirmedReads {
		if r.index > l.applied {
			unapplied = append(unapplied, r)
			continue
		}
		r.reply <- nil
	}
	l.confirmedReads = unapplied
}

// updateStatus publishes the status of the replica. When the term or the leader
// has changed, it fails all pending calls; in a new term that this host leads,
// it grants full leases once the state is up to date.
func (l *loop) updateStatus(now time.Time) {
	s := l.node.Status(now)
	changed := s.Term != l.lastStatus.Term || s.Leader != l.lastStatus.Leader
	l.lastStatus = s
	if changed {
		l.log.WithFields(logrus.Fields{
			"Term": s.Term, "Role": s.Role.String(), "Leader": l.peers.hostName(s.Leader), "Reason": s.Reason,
		}).Info("leadership changed")
		l.failPending()
	}
	leads := s.Role == replica.Leader && l.node.Term(l.applied) == s.Term
	if leads && l.leasesTerm != s.Term {
		l.leasesTerm = s.Term
		l.store.grantLeases(now)
	}
	l.store.publishStatus(now, s, leads, l.peers.address(l.peers.hostName(s.Leader)), l.heardAt(now))
}

// failPending fails all pending proposals and unconfirmed reads with a
// *NotLeaderError. A failed proposal may still be committed.
func (l *loop) failPending() {
	for i, p := range l.pendingProposals {
		p.reply <- commandResult{err: l.notLeaderError()}
		delete(l.pendingProposals, i)
	}
	for n, reply := range l.pendingReads {
		reply <- l.notLeaderError()
		delete(l.pendingReads, n)
	}
}

func (l *loop) notLeaderError() error {
	return &NotLeaderError{Address: l.peers.address(l.peers.hostName(l.lastStatus.Leader))}
}

// compact takes a snapshot once enough entries have been applied. The snapshot
// is written in the background while the loop continues with the old segment.
func (l *loop) compact() error {
	if l.pendingSnapshot != nil || time.Now().Before(l.nextCompaction) {
		return nil
	}
	if l.segmentOutdated {
		return l.replaceSegment()
	}
	if !l.mustCompact() {
		return nil
	}
	b, err := l.store.snapshot()
	if err != nil {
		return err
	}
	s := &replicav1.Snapshot{
		Index: l.applied, Term: l.node.Term(l.applied), Configuration: l.node.Configuration(l.applied), State: b,
	}
	w := &snapshotWrite{snapshot: s, done: make(chan error, 1)}
	l.pendingSnapshot = w
	go func() { w.done <- l.wal.SaveSnapshot(s) }()
	return nil
}

// mustCompact reports whether the entries since the last snapshot are too many, or
// larger than the state that they lead to. Documents are large, and each replaces
// the one before it, so that the log may outgrow the state many times.
func (l *loop) mustCompact() bool {
	limit := max(minSnapshotBytes, l.snapshotBytes)
	return l.applied >= l.compacted+snapshotEntries || l.node.Size(l.compacted, l.applied) >= limit
}

// snapshotWrite is a snapshot that is being written to the disk.
type snapshotWrite struct {
	snapshot *replicav1.Snapshot
	// done has room for the one result of the write.
	done chan error
}

// finishSnapshot truncates the log after the pending snapshot has been written,
// unless err says that the write failed. A full disk is not an error: the old
// segment stays in use, and the log is compacted later.
func (l *loop) finishSnapshot(err error) error {
	s := l.pendingSnapshot.snapshot
	l.pendingSnapshot = nil
	var full *writeahead.DiskFullError
	if errors.As(err, &full) {
		l.nextCompaction = time.Now().Add(compactionRetryInterval)
		l.log.WithError(err).Warn("snapshot not written because the disk is full; the log is not truncated")
		return nil
	}
	if err != nil {
		return err
	}
	l.compacted, l.snapshotBytes = s.GetIndex(), len(s.GetState())
	l.node.Compact(s, retained)
	return l.replaceSegment()
}

// replaceSegment starts a new segment with the entries that are still needed.
func (l *loop) replaceSegment() error {
	defer l.recordDiskWait(time.Now())
	err := l.wal.ReplaceSegment(l.node.HardState(), l.node.Retained())
	var full *writeahead.DiskFullError
	if l.segmentOutdated = errors.As(err, &full); l.segmentOutdated {
		l.nextCompaction = time.Now().Add(compactionRetryInterval)
		l.log.WithError(err).Warn("new segment not started because the disk is full; continuing with the old one")
		return nil
	}
	return err
}

// abandonSnapshot waits until the pending snapshot, if any, has been written, and
// leaves the log as it is: a newer snapshot has replaced it.
func (l *loop) abandonSnapshot() error {
	if l.pendingSnapshot == nil {
		return nil
	}
	err := <-l.pendingSnapshot.done
	l.pendingSnapshot = nil
	var full *writeahead.DiskFullError
	if errors.As(err, &full) {
		return nil
	}
	return err
}

// snapshotDone returns the channel that receives the result of the pending
// snapshot, or nil, which blocks forever, while there is none.
func (l *loop) snapshotDone() <-chan error {
	if l.pendingSnapshot == nil {
		return nil
	}
	return l.pendingSnapshot.done
}
