package controls

import (
	"cmp"
	"context"
	"expvar"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/streams"
	"ebonyreel/transport"
)

const (
	// streamCopies is the number of control hosts that keep the origin of a stream, and the
	// number of entries that do where a control host does not answer.
	streamCopies = 3
	// recordStreamsTimeout bounds a call that records streams, and recordStreamsInterval is
	// the time until a failed one is made again.
	recordStreamsTimeout  = 250 * time.Millisecond
	recordStreamsInterval = 100 * time.Millisecond
	// maxKeptStreams bounds the origins that an entry keeps, of its own streams and of
	// those of other entries each, and maxQueuedStreams those that it has still to record
	// at one keeper.
	maxKeptStreams   = 16 << 10
	maxQueuedStreams = 4 << 10
)

// EntryPeers knows the other entries.
type EntryPeers interface {
	// EntryPeers returns the addresses of entries for other entries, in no order.
	EntryPeers() []netip.AddrPort
}

// Streams records where streams began at several control hosts, and at other entries while
// control hosts do not answer, and finds it for streams that began at another entry. It is
// safe for concurrent use.
type Streams struct {
	client *Client
	peers  EntryPeers
	// own is the address of this entry for others.
	own         netip.AddrPort
	environment string
	log         *logrus.Entry
	// register keeps streams for other entries.
	register *streams.Register

	mu sync.Mutex
	// kept holds the streams that began or went on at this entry, by the ID of the request
	// that began them.
	kept    map[string]*keptStream
	sweptAt time.Time
	// queues holds what is still to be recorded at each keeper. A keeper has a queue while a
	// goroutine sends it, and is in failing while its last call failed.
	queues  map[netip.AddrPort][]*keptStream
	failing map[netip.AddrPort]bool
	// peerClients is keyed by address.
	peerClients map[netip.AddrPort]controlv1connect.StreamServiceClient
	// metrics counts streams Recorded at a keeper, ForEntries as a control host did not
	// answer, FoundHere without a call, Found by one, and Unknown, and RecordsFailed and
	// RecordsDropped.
	metrics *expvar.Map
}

type keptStream struct {
	origin *controlv1.StreamOrigin
	// expiresAt is when the caller can no longer resume the stream.
	expiresAt time.Time
	// atPeers is true once the stream is to be recorded at other entries. Streams.mu guards
	// it.
	atPeers bool
}

// streamKeeper is a control host or an entry that keeps streams.
type streamKeeper struct {
	address netip.AddrPort
	client  controlv1connect.StreamServiceClient
}

// NewStreams returns the streams of an entry, whose own address for other entries may be
// unset.
func NewStreams(c *Client, peers EntryPeers, own netip.AddrPort, environment string, log *logrus.Entry) *Streams {
	return &Streams{
		client: c, peers: peers, own: own, environment: environment, log: log, register: streams.NewRegister(maxKeptStreams), kept: map[string]*keptStream{},
		queues: map[netip.AddrPort][]*keptStream{}, failing: map[netip.AddrPort]bool{}, peerClients: map[netip.AddrPort]controlv1connect.StreamServiceClient{},
		metrics: new(expvar.Map).Init(),
	}
}

// Metrics returns the metrics, for expvar.
func (s *Streams) Metrics() expvar.Var {
	return s.metrics
}

// Register returns the register that this entry keeps for others.
func (s *Streams) Register() *streams.Register {
	return s.register
}

// Record records where a stream began. It does not wait.
func (s *Streams) Record(o *controlv1.StreamOrigin) {
	hosts := s.hostKeepers(o.GetRequest())
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.keep(o)
	for _, h := range hosts[:min(len(hosts), streamCopies)] {
		s.enqueue(h, k)
		if s.failing[h.address] {
			s.enqueueAtPeers(k)
		}
	}
}

// keep keeps a stream at this entry. s.mu must be held.
func (s *Streams) keep(o *controlv1.StreamOrigin) *keptStream {
	now := time.Now()
	if now.Sub(s.sweptAt) >= time.Second {
		s.sweptAt = now
		for id, k := range s.kept {
			if !now.Before(k.expiresAt) {
				delete(s.kept, id)
			}
		}
	}
	k := &keptStream{origin: o, expiresAt: now.Add(o.GetLifetime().AsDuration())}
	if len(s.kept) < maxKeptStreams {
		s.kept[o.GetRequest()] = k
	}
	return k
}

// enqueue queues a stream for a keeper. s.mu must be held.
func (s *Streams) enqueue(to streamKeeper, k *keptStream) {
	queue, sending := s.queues[to.address]
	s.setQueue(to.address, append(queue, k))
	if !sending {
		go s.send(to)
	}
}

// setQueue replaces a queue. What it has no room for is dropped, so that it is not known at
// that keeper. s.mu must be held.
func (s *Streams) setQueue(a netip.AddrPort, queue []*keptStream) {
	kept := queue[:min(len(queue), maxQueuedStreams)]
	s.metrics.Add("RecordsDropped", int64(len(queue)-len(kept)))
	s.queues[a] = kept
}

// enqueueAtPeers queues a stream for other entries, once. s.mu must be held.
func (s *Streams) enqueueAtPeers(k *keptStream) {
	if k.atPeers {
		return
	}
	k.atPeers = true
	s.metrics.Add("ForEntries", 1)
	for _, p := range s.peerKeepers(k.origin.GetRequest()) {
		s.enqueue(p, k)
	}
}

// send records the queue of a keeper until it is empty, or the keeper is gone.
func (s *Streams) send(to streamKeeper) {
	for s.client.knows(to.address) || slices.Contains(s.peers.EntryPeers(), to.address) {
		batch := s.take(to.address)
		if batch == nil {
			return
		}
		err := s.recordAt(to, batch)
		if err == nil {
			s.recorded(to, len(batch))
			continue
		}
		s.putBack(to, batch, err)
		time.Sleep(recordStreamsInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.queues, to.address)
	delete(s.failing, to.address)
}

// take empties the queue of a keeper and returns what callers may still resume. Where there
// is nothing, the queue is removed.
func (s *Streams) take(a netip.AddrPort) []*keptStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	batch := slices.DeleteFunc(s.queues[a], func(k *keptStream) bool { return !now.Before(k.expiresAt) })
	if len(batch) == 0 {
		delete(s.queues, a)
		return nil
	}
	s.queues[a] = nil
	return batch
}

// recorded notes that a keeper has recorded n streams.
func (s *Streams) recorded(by streamKeeper, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.Add("Recorded", int64(n))
	if s.failing[by.address] {
		s.log.WithField("Keeper", by.address.String()).Info("origins of streams are recorded again")
		delete(s.failing, by.address)
	}
}

// putBack queues a batch again that a keeper has not recorded. Where that is a control host,
// other entries keep the streams as well.
func (s *Streams) putBack(to streamKeeper, batch []*keptStream, err error) {
	isHost := s.client.knows(to.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.Add("RecordsFailed", 1)
	if !s.failing[to.address] {
		s.log.WithError(err).WithFields(logrus.Fields{"Keeper": to.address.String(), "ControlHost": isHost}).Warn("origins of streams not recorded")
		s.failing[to.address] = true
	}
	s.setQueue(to.address, append(batch, s.queues[to.address]...))
	if !isHost {
		return
	}
	for _, k := range batch {
		s.enqueueAtPeers(k)
	}
}

func (s *Streams) recordAt(to streamKeeper, batch []*keptStream) error {
	r := &controlv1.RecordStreamsRequest{Environment: s.environment}
	for _, k := range batch {
		r.Streams = append(r.Streams, &controlv1.StreamOrigin{
			Request: k.origin.GetRequest(), Pool: k.origin.GetPool(), Version: k.origin.GetVersion(), Lifetime: durationpb.New(time.Until(k.expiresAt)),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordStreamsTimeout)
	defer cancel()
	_, err := to.client.RecordStreams(ctx, connect.NewRequest(r))
	return err
}

// hostKeepers returns the control hosts in the order in which they are to keep a stream.
// Entries that know the same ones get the same order.
func (s *Streams) hostKeepers(request string) []streamKeeper {
	var out []streamKeeper
	for _, h := range s.client.streamHosts() {
		out = append(out, streamKeeper{address: h.address, client: h.streams})
	}
	rankKeepers(out, request)
	return out
}

// peerKeepers returns the other entries that are to keep a stream while control hosts do
// not answer. s.mu must be held.
func (s *Streams) peerKeepers(request string) []streamKeeper {
	var out []streamKeeper
	for _, a := range s.peers.EntryPeers() {
		out = append(out, streamKeeper{address: a})
	}
	rankKeepers(out, request)
	out = slices.DeleteFunc(out[:min(len(out), streamCopies)], func(k streamKeeper) bool { return k.address == s.own })
	for i, k := range out {
		c, ok := s.peerClients[k.address]
		if !ok {
			c = controlv1connect.NewStreamServiceClient(s.client.httpClient, transport.URL(k.address), s.client.options...)
			s.peerClients[k.address] = c
		}
		out[i].client = c
	}
	return out
}

// rankKeepers sorts keepers by a hash of their address and the request.
func rankKeepers(keepers []streamKeeper, request string) {
	ranks := map[netip.AddrPort]uint64{}
	for _, k := range keepers {
		ranks[k.address] = xxhash.Sum64String(k.address.String() + " " + request)
	}
	slices.SortFunc(keepers, func(a, b streamKeeper) int { return cmp.Compare(ranks[a.address], ranks[b.address]) })
}

// streamHosts returns the control hosts that may keep streams: those that control reported
// or, before that, those in the settings.
func (c *Client) streamHosts() []host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.reported) > 0 {
		return slices.Clone(c.hosts[:min(len(c.hosts), len(c.reported))])
	}
	return slices.Clone(c.hosts)
}

// knows reports whether a host is one of the control hosts.
func (c *Client) knows(a netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hasHost(a)
}
