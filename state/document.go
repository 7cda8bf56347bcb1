package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

// DocumentKey is the key under which an environment's document is published.
func DocumentKey(environment string) string {
	return environment + "/Document"
}

// PartKey is the key under which a part of an environment's document is
// published.
func PartKey(environment, name string) string {
	return environment + "/Part/" + name
}

// Current returns the document in force in an environment, or nil.
func (s *State) Current(environment string) *controlv1.Document {
	all := s.documents[environment]
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
}

// Documents returns the accepted documents of an environment, oldest first.
func (s *State) Documents(environment string) []*controlv1.Document {
	return s.documents[environment]
}

func (s *State) numbered(environment string, number uint64) *controlv1.Document {
	for _, d := range s.documents[environment] {
		if d.GetNumber() == number {
			return d
		}
	}
	return nil
}

// accept is a compare-and-set on the number: a number at or below the current
// one is refused, unless the very same document was accepted under it.
func (s *State) accept(now time.Time, d *controlv1.Document) (proto.Message, error) {
	if first := s.numbered(d.GetEnvironment(), d.GetNumber()); first != nil && first.GetDigest() == d.GetDigest() {
		return &controlv1.SubmitResponse{Document: first, Repeated: true}, nil
	}
	current := s.Current(d.GetEnvironment())
	if current != nil && d.GetNumber() <= current.GetNumber() {
		winner := s.numbered(d.GetEnvironment(), d.GetNumber())
		if winner == nil {
			winner = current
		}
		return nil, &ConflictError{Subject: fmt.Sprintf("Number %d", d.GetNumber()), Winner: winner}
	}
	parsed, err := document.Load(d.GetResolved())
	if err != nil {
		return nil, err
	}
	if err := s.understood(d.GetEnvironment(), parsed.Level); err != nil {
		return nil, err
	}
	kept := proto.CloneOf(d)
	kept.AcceptedAt = timestamppb.New(now)
	parts, err := parsed.Parts()
	if err != nil {
		return nil, err
	}
	s.keep(kept, parsed.Retention)
	s.publishDocument(kept, parts)
	return &controlv1.SubmitResponse{Document: kept}, nil
}

// keep appends a document to the history.
func (s *State) keep(d *controlv1.Document, r document.Retention) {
	all := append(s.documents[d.GetEnvironment()], d)
	if over := len(all) - r.Documents; over > 0 {
		all = append(all[:0:0], all[over:]...)
	}
	s.documents[d.GetEnvironment()] = all
	s.retentions[d.GetEnvironment()] = r
}

// publishDocument publishes the parts that differ from those of the document
// before, and then the document itself, without its bytes.
func (s *State) publishDocument(d *controlv1.Document, parts []document.Part) {
	env := d.GetEnvironment()
	manifest := proto.CloneOf(d)
	manifest.Resolved, manifest.Source = nil, nil
	listed := map[string]bool{}
	for _, p := range parts {
		listed[p.Name] = true
		manifest.Parts = append(manifest.Parts, &controlv1.PartDigest{Name: p.Name, Digest: p.Digest})
		s.publishPart(env, p)
	}
	for _, p := range s.items[DocumentKey(env)].GetDocument().GetParts() {
		if !listed[p.GetName()] {
			s.withdraw(PartKey(env, p.GetName()))
		}
	}
	s.publish(DocumentKey(env), &controlv1.Item{Value: &controlv1.Item_Document{Document: manifest}})
}

func (s *State) publishPart(environment string, p document.Part) {
	key := PartKey(environment, p.Name)
	if s.items[key].GetPart().GetDigest() == p.Digest {
		return
	}
	part := &controlv1.DocumentPart{Name: p.Name, Digest: p.Digest, Content: p.Content}
	s.publish(key, &controlv1.Item{Value: &controlv1.Item_Part{Part: part}})
}

// understood returns a *LevelError when a running process does not understand
// documents of a level.
func (s *State) understood(environment string, level uint32) error {
	items, _ := s.List(Range{Prefix: MemberPrefix(environment)})
	for _, it := range items {
		m := it.GetMember()
		if m.GetDocumentLevel() < level {
			return &LevelError{Process: m.GetName(), Level: m.GetDocumentLevel(), Needed: level}
		}
	}
	return nil
}

func (s *State) approve(now time.Time, r *controlv1.ApproveRequest) (proto.Message, error) {
	d := s.numbered(r.GetEnvironment(), r.GetNumber())
	if d == nil {
		return nil, &NotFoundError{Subject: fmt.Sprintf("document %d of %s", r.GetNumber(), r.GetEnvironment())}
	}
	if d.GetDigest() != r.GetDigest() {
		return nil, &ConflictError{Subject: fmt.Sprintf("digest %.12s", r.GetDigest()), Winner: d}
	}
	if d.GetApprover() != "" {
		return &controlv1.ApproveResponse{Document: d}, nil
	}
	approved := proto.CloneOf(d)
	approved.Approver = r.GetApprover()
	approved.ApprovedAt = timestamppb.New(now)
	s.replace(approved)
	return &controlv1.ApproveResponse{Document: approved}, nil
}

// replace puts a document in the place of the one with its number.
func (s *State) replace(d *controlv1.Document) {
	all := append([]*controlv1.Document(nil), s.documents[d.GetEnvironment()]...)
	for i, o := range all {
		if o.GetNumber() == d.GetNumber() {
			all[i] = d
		}
	}
	s.documents[d.GetEnvironment()] = all
}

// promote accepts the approved bytes of one environment in another one.
func (s *State) promote(now time.Time, r *controlv1.PromoteRequest) (proto.Message, error) {
	d := s.numbered(r.GetFromEnvironment(), r.GetNumber())
	if d == nil {
		return nil, &NotFoundError{Subject: fmt.Sprintf("document %d of %s", r.GetNumber(), r.GetFromEnvironment())}
	}
	if d.GetDigest() != r.GetDigest() {
		return nil, &ConflictError{Subject: fmt.Sprintf("digest %.12s", r.GetDigest()), Winner: d}
	}
	if d.GetApprover() == "" {
		return nil, &NotApprovedError{Environment: r.GetFromEnvironment(), Number: r.GetNumber()}
	}
	moved := proto.CloneOf(d)
	moved.Environment = r.GetToEnvironment()
	moved.Submitter = r.GetSubmitter()
	res, err := s.accept(now, moved)
	if err != nil {
		return nil, err
	}
	a := res.(*controlv1.SubmitResponse)
	return &controlv1.PromoteResponse{Document: a.GetDocument(), Repeated: a.GetRepeated()}, nil
}
