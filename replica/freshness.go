package replica

import "time"

// maxNotices bounds the notices of a follower that is behind.
const maxNotices = 64

// freshness tells until when a node is known to have had all committed entries. A
// follower may hear its leader all the time while entries or a snapshot are lost or
// still on their way to it, so contact with the leader does not tell.
type freshness struct {
	// notices are commit indexes that leaders have told and that are not delivered
	// yet, oldest first.
	notices []commitNotice
	// currentAt is when the newest commit index that is delivered was told.
	currentAt time.Time
}

// commitNotice is a commit index that the leader of a term told at a time.
type commitNotice struct {
	index, term uint64
	at          time.Time
}

// note adds a notice. Those beyond maxNotices are dropped: the older ones are delivered
// first.
func (f *freshness) note(c commitNotice) {
	if len(f.notices) < maxNotices {
		f.notices = append(f.notices, c)
	}
}

// advance removes the notices up to the newest delivered entry, which has an index and a
// term. A new leader may not know all that is committed before an entry of its own term
// is, so that the term must have reached that of the notice too.
func (f *freshness) advance(index, term uint64) {
	for len(f.notices) > 0 && f.notices[0].index <= index && f.notices[0].term <= term {
		f.currentAt = f.notices[0].at
		f.notices = f.notices[1:]
	}
}

// current records that the node has all committed entries at a time.
func (f *freshness) current(at time.Time) {
	f.notices, f.currentAt = nil, at
}

// advanceFreshness removes the notices of entries that were delivered.
func (n *Node) advanceFreshness() {
	t, _ := n.log.term(n.delivered)
	n.freshness.advance(n.delivered, t)
}
