package state

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
)

// maxDocumentBytes bounds the documents that are kept in the history of an environment,
// beyond the newest one.
const maxDocumentBytes = 16 << 20

// DocumentKey returns the key under which an environment's document is published.
func DocumentKey(environment string) string {
	return environment + "/Document"
}

// PartKey returns the key under which a part of an environment's document is
// published.
func PartKey(environment, name string) string {
	return environment + "/Part/" + name
}

// CurrentDocument returns the document in force in an environment, or nil.
func (s *State) CurrentDocument(environment string) *controlv1.Document {
	accepted := s.documents[environment]
	if len(accepted) == 0 {
		return nil
	}
	return accepted[len(accepted)-1]
}

// Documents returns the accepted documents of an environment, oldest first.
func (s *State) Documents(environment string) []*controlv1.Document {
	return s.documents[environment]
}

func (s *State) documentByNumber(environment string, number uint64) *controlv1.Document {
	for _, d := range s.documents[environment] {
		if d.GetNumber() == number {
			return d
		}
	}
	return nil
}

// accept is a compare-and-set on the number: it accepts a document whose number
// is higher than the current one. A repeated submission of an accepted document,
// with the same number and digest, returns the recorded one. Any other number up
// to the current one is a *ConflictError.
func (s *State) accept(now time.Time, d *controlv1.Document) (proto.Message, error) {
	if earlier := s.documentByNumber(d.GetEnvironment(), d.GetNumber()); earlier != nil && earlier.GetDigest() == d.GetDigest() {
		return &controlv1.SubmitResponse{Document: earlier, Repeated: true}, nil
	}
	current := s.CurrentDocument(d.GetEnvironment())
	if current != nil && d.GetNumber() <= current.GetNumber() {
		winner := s.documentByNumber(d.GetEnvironment(), d.GetNumber())
		if winner == nil {
			winner = current
		}
		return nil, &ConflictError{Subject: fmt.Sprintf("Number %d", d.GetNumber()), Winner: winner}
	}
	parsed, err := document.Load(d.GetResolved())
	if err != nil {
		return nil, err
	}
	if err := s.checkLevels(d.GetEnvironment(), parsed.Level); err != nil {
		return nil, err
	}
	accepted := proto.CloneOf(d)
	accepted.AcceptedAt = timestamppb.New(now)
	parts, err := parsed.Parts()
	if err != nil {
		return nil, err
	}
	s.appendDocument(accepted, parsed.Retention)
	s.publishDocument(accepted, parts)
	return &controlv1.SubmitResponse{Document: accepted}, nil
}

// appendDocument appends a document to the history, which it trims to the
// document's retention and to maxDocumentBytes.
func (s *State) appendDocument(d *controlv1.Document, r document.Retention) {
	accepted := append(s.documents[d.GetEnvironment()], d)
	if over := max(len(accepted)-r.Documents, documentsOver(accepted)); over > 0 {
		accepted = append(accepted[:0:0], accepted[over:]...)
	}
	s.documents[d.GetEnvironment()] = accepted
	s.retentions[d.GetEnvironment()] = r
}

// documentsOver returns the number of the oldest documents that exceed maxDocumentBytes
// with those after them. The newest one does not count.
func documentsOver(accepted []*controlv1.Document) int {
	size := 0
	for i := len(accepted) - 2; i >= 0; i-- {
		if size += len(accepted[i].GetResolved()) + len(accepted[i].GetSource()); size > maxDocumentBytes {
			return i + 1
		}
	}
	return 0
}

// publishDocument publishes the parts that differ from the previous document,
// and then the document itself without its bytes.
func (s *State) publishDocument(d *controlv1.Document, parts []document.Part) {
	environment := d.GetEnvironment()
	manifest := proto.CloneOf(d)
	manifest.Resolved, manifest.Source = nil, nil
	listed := map[string]bool{}
	for _, p := range parts {
		listed[p.Name] = true
		manifest.Parts = append(manifest.Parts, &controlv1.PartDigest{Name: p.Name, Digest: p.Digest})
		s.publishPart(environment, p)
	}
	for _, p := range s.items[DocumentKey(environment)].GetDocument().GetParts() {
		if !listed[p.GetName()] {
			s.unpublish(PartKey(environment, p.GetName()))
		}
	}
	s.publish(DocumentKey(environment), &controlv1.Item{Value: &controlv1.Item_Document{Document: manifest}})
}

func (s *State) publishPart(environment string, p document.Part) {
	key := PartKey(environment, p.Name)
	if s.items[key].GetPart().GetDigest() == p.Digest {
		return
	}
	part := &controlv1.DocumentPart{Name: p.Name, Digest: p.Digest, Content: p.Content}
	s.publish(key, &controlv1.Item{Value: &controlv1.Item_Part{Part: part}})
}

// checkLevels returns a *LevelError if a running process does not understand
// documents of a level.
func (s *State) checkLevels(environment string, level uint32) error {
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
	d := s.documentByNumber(r.GetEnvironment(), r.GetNumber())
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
	s.replaceDocument(approved)
	return &controlv1.ApproveResponse{Document: approved}, nil
}

// replaceDocument replaces the document that has the same number.
func (s *State) replaceDocument(d *controlv1.Document) {
	accepted := append([]*controlv1.Document(nil), s.documents[d.GetEnvironment()]...)
	for i, o := range accepted {
		if o.GetNumber() == d.GetNumber() {
			accepted[i] = d
		}
	}
	s.documents[d.GetEnvironment()] = accepted
}

// promote accepts an approved document of one environment in another one, byte
// for byte.
func (s *State) promote(now time.Time, r *controlv1.PromoteRequest) (proto.Message, error) {
	d := s.documentByNumber(r.GetFromEnvironment(), r.GetNumber())
	if d == nil {
		return nil, &NotFoundError{Subject: fmt.Sprintf("document %d of %s", r.GetNumber(), r.GetFromEnvironment())}
	}
	if d.GetDigest() != r.GetDigest() {
		return nil, &ConflictError{Subject: fmt.Sprintf("digest %.12s", r.GetDigest()), Winner: d}
	}
	if d.GetApprover() == "" {
		return nil, &NotApprovedError{Environment: r.GetFromEnvironment(), Number: r.GetNumber()}
	}
	promoted := proto.CloneOf(d)
	promoted.Environment = r.GetToEnvironment()
	promoted.Submitter = r.GetSubmitter()
	res, err := s.accept(now, promoted)
	if err != nil {
		return nil, err
	}
	a := res.(*controlv1.SubmitResponse)
	return &controlv1.PromoteResponse{Document: a.GetDocument(), Repeated: a.GetRepeated()}, nil
}
