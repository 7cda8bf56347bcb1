package document

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
)

const (
	// HeadPart is the name of the part with everything but the callers.
	HeadPart = "Head"
	// CallerPart starts the names of the parts with callers.
	CallerPart = "Callers-"
	// buckets is the number of parts that callers are spread over, so that a
	// change of one caller among 26,000 moves some 25 of them.
	buckets = 1024
	// bucketDigits is the length of a key hash's start that names a bucket,
	// and bucketBase its base.
	bucketDigits = 4
	bucketBase   = 16
)

// Part is one piece of a resolved document. A change of a document travels as
// the parts that differ.
type Part struct {
	Name string
	// Digest is that of Content.
	Digest  string
	Content []byte
}

// PartError reports a part that is missing or not what it should be.
type PartError struct {
	Name string
	// Expected and Got are digests; Got is empty for a missing part.
	Expected string
	Got      string
}

// Error names the part.
func (e *PartError) Error() string {
	return fmt.Sprintf("part %s: expected digest %.12s, found %.12s", e.Name, e.Expected, e.Got)
}

// bucketOf returns the bucket of a key hash, which is checked hexadecimal.
func bucketOf(keyHash string) int {
	n, err := strconv.ParseUint(keyHash[:bucketDigits], bucketBase, 16)
	if err != nil {
		return 0
	}
	return int(n % buckets)
}

func bucketName(b int) string {
	return fmt.Sprintf("%s%04d", CallerPart, b)
}

// Parts splits a parsed document, sorted by name. Empty buckets are left out.
func (d *Document) Parts() ([]Part, error) {
	head := *d
	head.Callers = nil
	out := make([]Part, 0, 1)
	for b, all := range d.spread() {
		if len(all) == 0 {
			continue
		}
		p, err := newPart(bucketName(b), all)
		if err != nil {
			return nil, err
		}
		out = append(out, p)
	}
	p, err := newPart(HeadPart, head)
	if err != nil {
		return nil, err
	}
	out = append(out, p)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

func newPart(name string, v any) (Part, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return Part{}, err
	}
	return Part{Name: name, Digest: Digest(b), Content: b}, nil
}

// spread puts the callers into their buckets.
func (d *Document) spread() *[buckets][]Caller {
	out := &[buckets][]Caller{}
	for _, c := range d.Callers {
		b := bucketOf(c.KeyHash)
		out[b] = append(out[b], c)
	}
	return out
}

// Assembly puts a document together from its parts, and takes in changes part
// by part. The zero value has no part. It is not safe for concurrent use.
type Assembly struct {
	// head is nil until its part is there.
	head *Document
	// callers has the decoded buckets.
	callers [buckets][]Caller
	// digests maps the name of each part to its digest.
	digests map[string]string
}

// Put takes in a part. The error is a *PartError when its content does not
// match its digest.
func (a *Assembly) Put(p Part) error {
	if got := Digest(p.Content); got != p.Digest {
		return &PartError{Name: p.Name, Expected: p.Digest, Got: got}
	}
	if err := a.decode(p); err != nil {
		return err
	}
	if a.digests == nil {
		a.digests = map[string]string{}
	}
	a.digests[p.Name] = p.Digest
	return nil
}

func (a *Assembly) decode(p Part) error {
	if p.Name == HeadPart {
		head := &Document{}
		if err := json.Unmarshal(p.Content, head); err != nil {
			return err
		}
		a.head = head
		return nil
	}
	var all []Caller
	if err := json.Unmarshal(p.Content, &all); err != nil {
		return err
	}
	if len(all) > 0 {
		a.callers[bucketOf(all[0].KeyHash)] = all
	}
	return nil
}

// Drop removes a part by name.
func (a *Assembly) Drop(name string) {
	delete(a.digests, name)
	number, ok := strings.CutPrefix(name, CallerPart)
	if !ok {
		return
	}
	if b, err := strconv.Atoi(number); err == nil && b >= 0 && b < buckets {
		a.callers[b] = nil
	}
}

// Document returns the document once each part of a manifest is there with its
// digest; a nil error means that what is served is what was accepted. The
// error is a *PartError, or a *CheckError for a level that this build does not
// understand. Its Callers field is empty: callers are found by key.
func (a *Assembly) Document(manifest []Part) (*Document, error) {
	for _, p := range manifest {
		if got := a.digests[p.Name]; got != p.Digest {
			return nil, &PartError{Name: p.Name, Expected: p.Digest, Got: got}
		}
	}
	if a.head == nil {
		return nil, &PartError{Name: HeadPart}
	}
	if a.head.Level > Level {
		return nil, single("Level", fmt.Sprint(a.head.Level), fmt.Sprintf("at most %d, the level of this build", Level))
	}
	out := *a.head
	callers := a.callers
	out.buckets = &callers
	out.index()
	return &out, nil
}
