package state

import (
	"sort"

	"google.golang.org/protobuf/types/known/timestamppb"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

// Snapshot returns the whole state. Equal states have equal snapshots.
func (s *State) Snapshot() *controlv1.Snapshot {
	out := &controlv1.Snapshot{Revision: s.revision, Incarnation: s.lastNumber, Time: timestamppb.New(s.lastCommandTime)}
	var environments []string
	for e := range s.documents {
		environments = append(environments, e)
	}
	sort.Strings(environments)
	for _, e := range environments {
		out.Documents = append(out.Documents, s.documents[e]...)
	}
	out.Items, _ = s.List(Range{})
	for _, e := range sortedEnvironments(s.operationOrder) {
		for _, k := range s.operationOrder[e] {
			out.Operations = append(out.Operations, s.operations[k])
		}
	}
	return out
}

// sortedEnvironments returns the environments that have operations, sorted.
func sortedEnvironments(order map[string][]string) []string {
	var out []string
	for e := range order {
		out = append(out, e)
	}
	sort.Strings(out)
	return out
}

// Restore replaces the whole state by a snapshot. The events up to the
// snapshot's revision are no longer available.
func (s *State) Restore(from *controlv1.Snapshot) error {
	next := New(s.history.limit)
	next.revision, next.lastNumber = from.GetRevision(), from.GetIncarnation()
	next.history.compacted = from.GetRevision()
	if from.GetTime() != nil {
		next.lastCommandTime = from.GetTime().AsTime()
	}
	for _, d := range from.GetDocuments() {
		next.documents[d.GetEnvironment()] = append(next.documents[d.GetEnvironment()], d)
	}
	for e := range next.documents {
		d, err := document.Load(next.CurrentDocument(e).GetResolved())
		if err != nil {
			return err
		}
		next.retentions[e] = d.Retention
	}
	for _, it := range from.GetItems() {
		next.items[it.GetKey()] = it
	}
	next.endpoints = indexEndpoints(next.items)
	for _, o := range from.GetOperations() {
		next.operations[operationKey(o)] = o
		next.operationOrder[o.GetEnvironment()] = append(next.operationOrder[o.GetEnvironment()], operationKey(o))
	}
	*s = *next
	return nil
}
