package control

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	controlv1 "ebonyreel/proto/control/v1"
	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/replica"
)

const (
	// longInputWait is the wait of an input of which the loop warns: messages that wait
	// longer may lead to an election.
	longInputWait = electionTimeout / 2
	// waitWarningInterval is the least time between two such warnings.
	waitWarningInterval = time.Second
)

// deliveryMetrics counts Deliver calls. The zero value is empty. It is safe for
// concurrent use.
type deliveryMetrics struct {
	calls  atomic.Uint64
	failed atomic.Uint64
	times  recentMaximum
}

// observe counts a call that began at start and has ended. err may be nil.
func (d *deliveryMetrics) observe(start time.Time, err error) {
	now := time.Now()
	d.calls.Add(1)
	if err != nil {
		d.failed.Add(1)
	}
	d.times.observe(now, now.Sub(start))
}

// recordDiskWait records that the loop has waited for its disk since start.
func (l *loop) recordDiskWait(start time.Time) {
	now := time.Now()
	l.lastDiskWait = now.Sub(start)
	l.store.diskWaits.observe(now, l.lastDiskWait)
}

// warnOfWait warns of an input that has waited for longer than longInputWait.
func (l *loop) warnOfWait(wait time.Duration) {
	now := time.Now()
	if wait <= longInputWait || now.Sub(l.lastWaitWarning) < waitWarningInterval {
		return
	}
	l.lastWaitWarning = now
	l.log.WithFields(logrus.Fields{
		"WaitMilliseconds": wait.Milliseconds(), "Waiting": len(l.store.inputs.waiting), "LastSaveMilliseconds": l.lastDiskWait.Milliseconds(),
		"LongestDeliveryMilliseconds": l.peers.deliveries.times.milliseconds(now),
	}).Warn("input waited for long")
}

// heardAt returns when this leader last heard each other host in the configuration, by
// name.
func (l *loop) heardAt(now time.Time) map[string]time.Time {
	if l.lastStatus.Role != replica.Leader {
		return nil
	}
	out := map[string]time.Time{}
	for _, s := range l.lastStatus.Configuration.GetServers() {
		if s.GetId() != l.store.id {
			out[s.GetName()] = now.Add(-l.node.SinceContact(s.GetId()))
		}
	}
	return out
}

// logSubmission logs, at the leader of the entry's term, the result of a submitted document
// and which voters had it on their disks when it was applied. The document is nil for other
// commands.
func (l *loop) logSubmission(e *replicav1.Entry, d *controlv1.Document, result commandResult) {
	if d == nil || l.lastStatus.Role != replica.Leader || e.GetTerm() != l.lastStatus.Term {
		return
	}
	var holders []string
	for _, id := range l.node.Holders(e.GetIndex()) {
		holders = append(holders, l.peers.hostName(id))
	}
	res, _ := result.response.(*controlv1.SubmitResponse)
	l.log.WithFields(logrus.Fields{
		"Environment": d.GetEnvironment(), "Number": d.GetNumber(), "Index": e.GetIndex(), "Term": e.GetTerm(),
		"Voters": serverNames(l.lastStatus.Configuration, false), "Holders": holders,
		"Revision": l.store.revision(), "New": result.err == nil && !res.GetRepeated(), "Superseded": IsSuperseded(result.err),
	}).Info("document recorded")
}
