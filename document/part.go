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
	// CallerPart is the prefix of the names of the parts with callers.
	CallerPart = "Callers-"
	// bucketCount is the number of parts that the callers are split into. With
	// 26,000 callers, a change of one of them transfers some 25 of them.
	bucketCount = 1024
	// bucketDigits is the number of leading digits of a key hash that determine
	// its bucket.
	bucketDigits = 4
	// bucketBase is the base of the digits of a key hash.
	bucketBase = 16
)

// Part is one piece of a resolved document. Only the parts that differ are
// transferred when a document changes.
type Part struct {
	// Name is HeadPart, or CallerPart with the number of a bucket.
	Name string
	// Digest is the digest of Content.
	Digest string
	// Content is JSON.
	Content []byte
}

// PartError reports a part that is missing or has another content than expected.
type PartError struct {
	Name string
	// Expected is the expected digest; empty if the manifest names no such part.
	Expected string
	// Got is the digest that was found; empty for a missing part.
	Got string
}

// Error names the part and both digests.
func (e *PartError) Error() string {
	return fmt.Sprintf("part %s: expected digest %.12s, found %.12s", e.Name, e.Expected, e.Got)
}

// bucketOf returns the bucket of a key hash, whose format was checked before.
func bucketOf(keyHash string) int {
	n, err := strconv.ParseUint(keyHash[:bucketDigits], bucketBase, 16)
	if err != nil {
		return 0
	}
	return int(n % bucketCount)
}

func bucketName(b int) string {
	return fmt.Sprintf("%s%04d", CallerPart, b)
}

// Parts splits a parsed document into its parts, sorted by name. Empty buckets
// are left out.
func (d *Document) Parts() ([]Part, error) {
	head := *d
	head.Callers = nil
	out := make([]Part, 0, 1)
	for b, callers := range d.bucketCallers() {
		if len(callers) == 0 {
			continue
		}
		p, err := newPart(bucketName(b), callers)
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

func newPart(name string, value any) (Part, error) {
	b, err := json.Marshal(value)
	if err != nil {
		return Part{}, err
	}
	return Part{Name: name, Digest: Digest(b), Content: b}, nil
}

// bucketCallers returns the callers by bucket. A caller with several keys is in the
// bucket of each of them, under that key alone.
func (d *Document) bucketCallers() *[bucketCount][]Caller {
	out := &[bucketCount][]Caller{}
	for _, c := range d.Callers {
		for _, h := range c.keys() {
			b, byKey := bucketOf(h), c
			byKey.KeyHash, byKey.KeyHashes = h, nil
			out[b] = append(out[b], byKey)
		}
	}
	return out
}

// Assembly assembles a document from its parts, and updates it part by part. The
// zero value has no parts. It is not safe for concurrent use.
type Assembly struct {
	// head is the decoded head part; nil until Put was called with it.
	head *Document
	// callers holds the decoded callers of each bucket.
	callers [bucketCount][]Caller
	// digests maps the name of each present part to its digest.
	digests map[string]string
}

// Put adds a part, or replaces the one of that name. The error is a *PartError if
// the content does not match the digest, or one of JSON.
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
	var bucket []Caller
	if err := json.Unmarshal(p.Content, &bucket); err != nil {
		return err
	}
	if len(bucket) > 0 {
		a.callers[bucketOf(bucket[0].KeyHash)] = bucket
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
	if b, err := strconv.Atoi(number); err == nil && b >= 0 && b < bucketCount {
		a.callers[b] = nil
	}
}

// Document returns the document, if each part of a manifest is present with the
// digest in the manifest. A nil error thus means that the document is the accepted
// one. Its Callers field is empty; use CallerByKey. The error is a *PartError, or
// a *CheckError for a level that this build does not support.
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
		return nil, singleFault("Level", fmt.Sprint(a.head.Level), fmt.Sprintf("at most %d, the level of this build", Level))
	}
	out := *a.head
	callers := a.callers
	out.callerBuckets = &callers
	out.indexRoutes()
	return &out, nil
}
