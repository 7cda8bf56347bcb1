// Package state is the deterministic state machine of control: documents,
// members, endpoints, operation records and strikes. It has no clock and does no
// I/O. It applies the commands of the replicated log, and every replica that has
// applied the same commands holds the same state.
//
// Each start of an endpoint begins a new lifetime, and each time that a member
// joins anew it gets a new incarnation. What belongs to an older one is refused or
// ignored.
package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

// State is the whole state of control. It is not safe for concurrent use.
type State struct {
	// lastCommandTime is the latest time of all commands; it never goes back,
	// whatever the clocks of the leaders say.
	lastCommandTime time.Time
	// revision is incremented with each published change.
	revision uint64
	// lastNumber is the last number that was allotted to the start of a process, the
	// dispatch of an operation or an order to an endpoint; it only grows.
	lastNumber uint64
	// documents maps an environment to its accepted documents, oldest first.
	documents map[string][]*controlv1.Document
	// retentions maps an environment to the retention in its current document.
	retentions map[string]document.Retention
	// items maps a key to the item that watchers see under it.
	items map[string]*controlv1.Item
	// endpoints is the index of the endpoints among the items.
	endpoints endpointIndex
	// operations maps an operation key to the record of a non-idempotent call.
	operations map[string]*controlv1.Operation
	// operationOrder maps an environment to its operation keys in the order of
	// their creation. Pruning may move an operation that has not ended to the end.
	operationOrder map[string][]string
	// history holds the newest events, from which watches resume.
	history history
}

// New returns an empty state that keeps the given number of events for watchers.
func New(events int) *State {
	return &State{
		documents:      map[string][]*controlv1.Document{},
		retentions:     map[string]document.Retention{},
		items:          map[string]*controlv1.Item{},
		operations:     map[string]*controlv1.Operation{},
		operationOrder: map[string][]string{},
		history:        history{limit: events},
	}
}

// Revision returns the revision of the last published change.
func (s *State) Revision() uint64 {
	return s.revision
}

// Apply applies one command and returns its response. An error is a result like
// any other: every replica computes the same one.
func (s *State) Apply(c *controlv1.Command) (proto.Message, error) {
	if t := c.GetTime().AsTime(); t.After(s.lastCommandTime) {
		s.lastCommandTime = t
	}
	now := s.lastCommandTime
	switch k := c.GetKind().(type) {
	case *controlv1.Command_Accept:
		return s.accept(now, k.Accept)
	case *controlv1.Command_Approve:
		return s.approve(now, k.Approve)
	case *controlv1.Command_Promote:
		return s.promote(now, k.Promote)
	case *controlv1.Command_Announce:
		return s.announce(k.Announce)
	case *controlv1.Command_Leave:
		return s.leave(k.Leave)
	case *controlv1.Command_Begin:
		return s.begin(now, k.Begin)
	case *controlv1.Command_Finish:
		return s.finish(now, k.Finish)
	case *controlv1.Command_AddStrikes:
		return s.addStrikes(now, k.AddStrikes)
	case *controlv1.Command_AnnounceEndpoint:
		return s.announceEndpoint(now, k.AnnounceEndpoint)
	case *controlv1.Command_RemoveEndpoint:
		return s.removeEndpoint(now, k.RemoveEndpoint)
	case *controlv1.Command_OrderEndpoint:
		return s.orderEndpoint(now, k.OrderEndpoint)
	case *controlv1.Command_LapseEndpoint:
		return s.lapseEndpoint(now, k.LapseEndpoint)
	}
	return nil, &CommandError{Kind: fmt.Sprintf("%T", c.GetKind())}
}

// publish stores an item under a key at the next revision.
func (s *State) publish(key string, it *controlv1.Item) {
	s.revision++
	it.Key = key
	it.Revision = s.revision
	s.items[key] = it
	s.history.add(&controlv1.Event{Revision: s.revision, Key: key, Item: it})
}

// unpublish deletes a key at the next revision. It does nothing if there is no
// such key.
func (s *State) unpublish(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history.add(&controlv1.Event{Revision: s.revision, Key: key})
}

// olderThan reports whether a time lies more than age before now.
func olderThan(t time.Time, now time.Time, age time.Duration) bool {
	return now.Sub(t) > age
}
