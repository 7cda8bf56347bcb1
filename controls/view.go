package controls

import (
	"context"
	"errors"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/clock"
	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/transport"
)

const (
	// watchTimeout is how long a watch may deliver nothing, not even a progress
	// mark, before it is abandoned.
	watchTimeout = 2 * time.Second
	// fastWatchTimeout is the same for a view with fast watches, which ask for progress
	// marks each fastProgressInterval, and fastOpenTimeout how long such a watch may
	// take until its first message. With a host that does not answer in between, a
	// change is seen within a second after a connection has gone silent. The latter
	// doubles after each maxFastOpens watches that failed to open.
	fastWatchTimeout     = 500 * time.Millisecond
	fastProgressInterval = 100 * time.Millisecond
	fastOpenTimeout      = 250 * time.Millisecond
	maxFastOpens         = 5
	// maxRelistDelay bounds the random delay before a new list. The delay keeps
	// processes from all listing at once after a failover.
	maxRelistDelay = 500 * time.Millisecond
	// hostIndexRange bounds the random index of the first host to watch. It is far
	// above the number of control hosts.
	hostIndexRange = 1 << 16
)

// MemberGroup identifies the members that serve one model or service in one role.
type MemberGroup struct {
	Serves string
	Role   controlv1.Role
}

// View is a local copy of one environment's part of the state. It is safe for
// concurrent use. Callers must not change the values that it returns.
type View struct {
	// environment is the first segment of the keys that are followed.
	environment string
	// excludedPrefix is the prefix of the keys that are left out, or empty.
	excludedPrefix string
	client         *Client
	log            *logrus.Entry
	// hostIndex selects the control host to watch; only Run uses it. It starts at
	// random, which distributes the watches over the hosts.
	hostIndex int
	// newWatchClient returns the HTTP client of a watch; nil makes watches use that of
	// the other calls.
	newWatchClient func() *http.Client
	// failedOpens is the number of watches in a row that delivered no message; only Run
	// uses it.
	failedOpens int
	// behindSignal makes the current watch end, so that another host is watched.
	behindSignal chan struct{}

	mu sync.RWMutex
	// revision is the revision of the last applied change; it never decreases.
	revision uint64
	// parts collects the parts from which the document is assembled.
	parts document.Assembly
	// document is the document in force, or nil before the first one; its number
	// only grows.
	document *document.Document
	// adoptedAt is when the document came into force here, and lastMessageAt when
	// a watch last received a message.
	adoptedAt     time.Time
	lastMessageAt time.Time
	// manifest is the newest document published, without its bytes.
	manifest *controlv1.Document
	// members is keyed by item key.
	members map[string]*controlv1.Member
	// membersByGroup indexes the members that take new work.
	membersByGroup map[MemberGroup][]*controlv1.Member
	// strikes is keyed by content digest.
	strikes map[string]*controlv1.Strikes
	// endpoints is keyed by item key, and endpointsByPool by the name of the pool.
	endpoints       map[string]*controlv1.Endpoint
	endpointsByPool map[string][]*controlv1.Endpoint
	// versionsByPool are the software versions of the endpoints, with those that have
	// left, by the name of the pool.
	versionsByPool map[string][]string
	// changed is closed and replaced after each change.
	changed chan struct{}
}

// NewView returns an empty view of an environment.
func NewView(c *Client, environment string, log *logrus.Entry) *View {
	return &View{
		environment:     environment,
		client:          c,
		log:             log,
		hostIndex:       rand.IntN(hostIndexRange),
		members:         map[string]*controlv1.Member{},
		membersByGroup:  map[MemberGroup][]*controlv1.Member{},
		strikes:         map[string]*controlv1.Strikes{},
		endpoints:       map[string]*controlv1.Endpoint{},
		endpointsByPool: map[string][]*controlv1.Endpoint{},
		changed:         make(chan struct{}),
		behindSignal:    make(chan struct{}, 1),
	}
}

// ExcludeCallers makes the view follow everything except the callers in the
// document. It must be called before Run.
func (v *View) ExcludeCallers() {
	v.excludedPrefix = v.environment + "/Part/" + document.CallerPart
}

// WatchFast makes watches notice a silent connection within fastWatchTimeout, and
// gives each a connection of its own, as the others to a host may be silent as well.
// newClient returns a client without connections. It must be called before Run.
func (v *View) WatchFast(newClient func() *http.Client) {
	v.newWatchClient = newClient
}

// Run keeps the view current until the context ends: a list at revision R, then
// a watch from R+1, and a new list when the events in between are no longer
// kept.
func (v *View) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := v.list(ctx); err != nil {
			v.log.WithError(err).Warn("list failed")
			clock.Sleep(ctx, rand.N(maxRelistDelay))
			continue
		}
		v.watchUntilRelist(ctx)
	}
}

// watchUntilRelist watches one control host after the other until a new list is
// needed or the context ends.
func (v *View) watchUntilRelist(ctx context.Context) {
	for ctx.Err() == nil {
		err := v.watch(ctx)
		var part *document.PartError
		if errors.As(err, &part) || RefusalFrom(err).GetCode() == controlv1.Refusal_CODE_COMPACTED {
			v.log.WithError(err).Warn("watch cannot continue; listing again")
			clock.Sleep(ctx, rand.N(maxRelistDelay))
			return
		}
		v.hostIndex++
		clock.Sleep(ctx, rand.N(roundInterval))
	}
}

// list replaces the contents of the view by a list. The error is a
// *OutdatedListError if the list is older than the view.
func (v *View) list(ctx context.Context) error {
	res, err := v.client.List(ctx, &controlv1.ListRequest{Prefix: v.environment + "/", Without: v.excludedPrefix})
	if err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if res.GetRevision() < v.revision {
		return &OutdatedListError{Seen: v.revision, Got: res.GetRevision()}
	}
	clear(v.members)
	clear(v.strikes)
	clear(v.endpoints)
	v.parts = document.Assembly{}
	for _, it := range res.GetItems() {
		v.put(it)
	}
	if err := v.adoptDocument(); err != nil {
		return err
	}
	v.finishUpdate(res.GetRevision())
	return nil
}

// WatchAnotherHost tells the view that control has a newer document. The
// watched host may be cut off, so the view watches another one instead.
func (v *View) WatchAnotherHost() {
	select {
	case v.behindSignal <- struct{}{}:
	default:
	}
}

// watch applies one stream of events until the stream ends, nothing arrives for
// watchTimeout, or WatchAnotherHost is called.
func (v *View) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h, timeout, openTimeout := v.client.hostByIndex(v.hostIndex), watchTimeout, watchTimeout
	client := h.client
	if v.newWatchClient != nil {
		timeout, openTimeout = fastWatchTimeout, min(fastOpenTimeout<<min(v.failedOpens/maxFastOpens, 8), watchTimeout)
		own := v.newWatchClient()
		defer own.CloseIdleConnections()
		client = controlv1connect.NewControlServiceClient(own, transport.URL(h.address), v.client.options...)
	}
	v.failedOpens++
	timer := time.AfterFunc(openTimeout, cancel)
	defer timer.Stop()
	s, err := v.openWatch(ctx, client)
	if err != nil {
		return err
	}
	defer func() { _ = s.Close() }()
	go func() {
		select {
		case <-ctx.Done():
		case <-v.behindSignal:
			v.log.WithField("Revision", v.Revision()).Warn("view is behind; watching another control host")
			cancel()
		}
	}()
	for s.Receive() {
		timer.Reset(timeout)
		v.failedOpens = 0
		if err := v.apply(s.Msg()); err != nil {
			return err
		}
	}
	return s.Err()
}

func (v *View) openWatch(ctx context.Context, p controlv1connect.ControlServiceClient) (*connect.ServerStreamForClient[controlv1.WatchResponse], error) {
	r := &controlv1.WatchRequest{Prefix: v.environment + "/", FromRevision: v.Revision() + 1, Without: v.excludedPrefix}
	if v.newWatchClient != nil {
		r.ProgressInterval = durationpb.New(fastProgressInterval)
	}
	return p.Watch(ctx, connect.NewRequest(r))
}

// apply applies the events of one message. Events at or below the view's
// revision are skipped.
func (v *View) apply(m *controlv1.WatchResponse) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastMessageAt = time.Now()
	if m.GetRevision() <= v.revision {
		return nil
	}
	for _, e := range m.GetEvents() {
		if e.GetRevision() <= v.revision {
			continue
		}
		if e.GetItem() == nil {
			v.remove(e.GetKey())
			continue
		}
		v.put(e.GetItem())
	}
	if err := v.adoptDocument(); err != nil {
		return err
	}
	if len(m.GetEvents()) == 0 {
		v.revision = m.GetRevision()
		return nil
	}
	v.finishUpdate(m.GetRevision())
	return nil
}

func (v *View) put(it *controlv1.Item) {
	switch k := it.GetValue().(type) {
	case *controlv1.Item_Document:
		v.manifest = k.Document
	case *controlv1.Item_Part:
		v.putPart(k.Part)
	case *controlv1.Item_Member:
		v.members[it.GetKey()] = k.Member
	case *controlv1.Item_Strikes:
		v.strikes[k.Strikes.GetContentDigest()] = k.Strikes
	case *controlv1.Item_Endpoint:
		v.putEndpoint(it.GetKey(), k.Endpoint)
	}
}

// putEndpoint stores an endpoint and logs a change of its state or lifetime. An
// endpoint that is already gone when it is first seen is not logged.
func (v *View) putEndpoint(key string, e *controlv1.Endpoint) {
	old := v.endpoints[key]
	relevant := old != nil || e.GetState() != controlv1.EndpointState_ENDPOINT_STATE_GONE
	if relevant && (old.GetState() != e.GetState() || old.GetLifetime() != e.GetLifetime()) {
		v.log.WithFields(logrus.Fields{
			"Endpoint": e.GetName(), "Address": e.GetAddress(), "Serves": e.GetServes(), "Lifetime": e.GetLifetime(), "Version": e.GetVersion(),
			"State": e.GetState().String(), "Was": old.GetState().String(),
		}).Info("endpoint changed")
	}
	v.endpoints[key] = e
}

func (v *View) putPart(p *controlv1.DocumentPart) {
	err := v.parts.Put(document.Part{Name: p.GetName(), Digest: p.GetDigest(), Content: p.GetContent()})
	if err != nil {
		v.log.WithError(err).Error("document part rejected")
	}
}

// adoptDocument puts the newest published document in force, unless it already
// is or one with a higher number is. After a *document.PartError a new list is
// needed.
func (v *View) adoptDocument() error {
	d := v.manifest
	if d == nil || v.document != nil && d.GetNumber() <= v.document.Number {
		return nil
	}
	assembled, err := v.parts.Document(v.followedParts(d))
	if err != nil {
		return err
	}
	v.document, v.adoptedAt = assembled, time.Now()
	v.log.WithFields(logrus.Fields{"Number": d.GetNumber(), "Digest": d.GetDigest()}).Info("document in force")
	return nil
}

// followedParts returns the parts of a document that the view follows: all parts,
// or only the head when callers are left out.
func (v *View) followedParts(d *controlv1.Document) []document.Part {
	var out []document.Part
	for _, p := range d.GetParts() {
		if v.excludedPrefix == "" || p.GetName() == document.HeadPart {
			out = append(out, document.Part{Name: p.GetName(), Digest: p.GetDigest()})
		}
	}
	return out
}

func (v *View) remove(key string) {
	delete(v.members, key)
	delete(v.endpoints, key)
	if name, ok := strings.CutPrefix(key, v.environment+"/Part/"); ok {
		v.parts.Drop(name)
	}
	if digest, ok := strings.CutPrefix(key, v.environment+"/Strikes/"); ok {
		delete(v.strikes, digest)
	}
}

// finishUpdate sets the revision, rebuilds the indexes and wakes the waiters for
// a change.
func (v *View) finishUpdate(revision uint64) {
	v.revision = revision
	v.membersByGroup = map[MemberGroup][]*controlv1.Member{}
	for _, m := range v.members {
		if !v.takesWork(m) {
			continue
		}
		g := MemberGroup{Serves: m.GetServes(), Role: m.GetRole()}
		v.membersByGroup[g] = append(v.membersByGroup[g], m)
	}
	v.endpointsByPool, v.versionsByPool = map[string][]*controlv1.Endpoint{}, map[string][]string{}
	for _, e := range v.endpoints {
		if versions := v.versionsByPool[e.GetServes()]; !slices.Contains(versions, e.GetVersion()) {
			v.versionsByPool[e.GetServes()] = append(versions, e.GetVersion())
		}
		if s := e.GetState(); s == controlv1.EndpointState_ENDPOINT_STATE_READY || s == controlv1.EndpointState_ENDPOINT_STATE_LOST {
			v.endpointsByPool[e.GetServes()] = append(v.endpointsByPool[e.GetServes()], e)
		}
	}
	close(v.changed)
	v.changed = make(chan struct{})
}

// takesWork reports whether a member takes new work: it is serving, and its
// failure domain is listed in the document if the document lists any.
func (v *View) takesWork(m *controlv1.Member) bool {
	if m.GetState() != controlv1.MemberState_MEMBER_STATE_SERVING || v.document == nil {
		return false
	}
	domains := v.document.FailureDomains
	return len(domains) == 0 || slices.Contains(domains, m.GetFailureDomain())
}

// Revision returns the revision of the last applied change.
func (v *View) Revision() uint64 {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.revision
}

// Document returns the document in force, or nil before the first one.
func (v *View) Document() *document.Document {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.document
}

// DocumentInForce returns the document in force, or nil before the first one, and when it
// came into force here.
func (v *View) DocumentInForce() (*document.Document, time.Time) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.document, v.adoptedAt
}

// Metrics returns, for expvar, the number of the document in force, the revision,
// the milliseconds since the document came into force here, and the milliseconds
// since a watch last received a message.
func (v *View) Metrics() expvar.Var {
	return expvar.Func(func() any {
		v.mu.RLock()
		defer v.mu.RUnlock()
		out := struct {
			DocumentNumber, Revision                  uint64
			DocumentMilliseconds, UnheardMilliseconds int64
		}{Revision: v.revision}
		if v.document != nil {
			out.DocumentNumber, out.DocumentMilliseconds = v.document.Number, time.Since(v.adoptedAt).Milliseconds()
		}
		if !v.lastMessageAt.IsZero() {
			out.UnheardMilliseconds = time.Since(v.lastMessageAt).Milliseconds()
		}
		return out
	})
}

// Members returns the members of a group that take new work, in no order.
func (v *View) Members(g MemberGroup) []*controlv1.Member {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.membersByGroup[g]
}

// Entries returns the number of entries that take calls.
func (v *View) Entries() int {
	return len(v.Members(MemberGroup{Role: controlv1.Role_ROLE_ENTRY}))
}

// EntryPeers returns the addresses of entries for other entries, in no order.
func (v *View) EntryPeers() []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range v.Members(MemberGroup{Role: controlv1.Role_ROLE_ENTRY}) {
		if a, err := netip.ParseAddrPort(m.GetPeerAddress()); err == nil {
			out = append(out, a)
		}
	}
	return out
}

// AllMembers returns every member, in no order.
func (v *View) AllMembers() []*controlv1.Member {
	v.mu.RLock()
	defer v.mu.RUnlock()
	out := make([]*controlv1.Member, 0, len(v.members))
	for _, m := range v.members {
		out = append(out, m)
	}
	return out
}

// Strikes returns the number of crashes that are counted against a content.
func (v *View) Strikes(digest string) uint32 {
	return v.StrikesAgainst(digest).GetCount()
}

// StrikesAgainst returns the strikes against a content or a part of prompts, or nil.
func (v *View) StrikesAgainst(digest string) *controlv1.Strikes {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.strikes[digest]
}

// HasStrikes reports whether a crash is counted against any content.
func (v *View) HasStrikes() bool {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return len(v.strikes) > 0
}

// Condemned reports whether a content crashed an endpoint on which it ran alone.
func (v *View) Condemned(digest string) bool {
	return v.StrikesAgainst(digest).GetCondemned()
}

// Changed returns a channel that is closed after the next change.
func (v *View) Changed() <-chan struct{} {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.changed
}
