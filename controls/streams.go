package controls

import (
	"cmp"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	"ebonyreel/clock"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// streamCopies is the number of control hosts that keep the origin of a stream.
	streamCopies = 3
	// recordStreamsTimeout bounds a call that records streams at a host, and
	// recordStreamsInterval is the time until a failed one is made again.
	recordStreamsTimeout  = 500 * time.Millisecond
	recordStreamsInterval = 100 * time.Millisecond
	// findStreamTimeout bounds the search for the origin of a stream. Its record may
	// arrive shortly after the request that resumes the stream, so that the hosts are asked
	// findStreamRounds times, each findStreamInterval later.
	findStreamTimeout  = 300 * time.Millisecond
	findStreamRounds   = 3
	findStreamInterval = 50 * time.Millisecond
	// maxKeptStreams bounds the origins that an entry keeps itself, and maxQueuedStreams
	// those that it has still to record at one host.
	maxKeptStreams   = 16 << 10
	maxQueuedStreams = 4 << 10
)

// UnknownStreamError reports a stream that cannot go on here, as it is not known where it
// began.
type UnknownStreamError struct {
	// Request is the ID of the request that began the stream; empty where the caller did not
	// say.
	Request string
	// Asked is the number of control hosts asked, and Answered the number that answered.
	Asked    int
	Answered int
}

func (e *UnknownStreamError) Error() string {
	return fmt.Sprintf("origin of the stream of request %.40q is not known, %d of %d control hosts answered", e.Request, e.Answered, e.Asked)
}

// Streams records at several control hosts where streams began, and finds it for streams
// that began at another entry. It is safe for concurrent use.
type Streams struct {
	client      *Client
	environment string
	log         *logrus.Entry

	mu sync.Mutex
	// kept holds the streams that began or went on at this entry, by the ID of the request
	// that began them.
	kept    map[string]keptStream
	sweptAt time.Time
	// queues holds what is still to be recorded at each host. A host has a queue while a
	// goroutine sends it.
	queues map[netip.AddrPort][]keptStream
}

type keptStream struct {
	origin *controlv1.StreamOrigin
	// expiresAt is when the caller can no longer resume the stream.
	expiresAt time.Time
}

// NewStreams returns the streams of an entry.
func NewStreams(c *Client, environment string, log *logrus.Entry) *Streams {
	return &Streams{client: c, environment: environment, log: log, kept: map[string]keptStream{}, queues: map[netip.AddrPort][]keptStream{}}
}

// Record records where a stream began. It does not wait.
func (s *Streams) Record(o *controlv1.StreamOrigin) {
	hosts := s.client.streamHosts(o.GetRequest())
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.keep(o)
	for _, h := range hosts[:min(len(hosts), streamCopies)] {
		queue, sending := s.queues[h.address]
		if len(queue) < maxQueuedStreams {
			s.queues[h.address] = append(queue, k)
		}
		if !sending {
			go s.send(h)
		}
	}
}

// keep keeps a stream at this entry. s.mu must be held.
func (s *Streams) keep(o *controlv1.StreamOrigin) keptStream {
	now := time.Now()
	if now.Sub(s.sweptAt) >= time.Second {
		s.sweptAt = now
		for id, k := range s.kept {
			if !now.Before(k.expiresAt) {
				delete(s.kept, id)
			}
		}
	}
	k := keptStream{origin: o, expiresAt: now.Add(o.GetLifetime().AsDuration())}
	if len(s.kept) < maxKeptStreams {
		s.kept[o.GetRequest()] = k
	}
	return k
}

// send records the queue of a host until it is empty, or control no longer reports the
// host.
func (s *Streams) send(h host) {
	for s.client.knows(h.address) {
		batch := s.take(h.address)
		if batch == nil {
			return
		}
		if err := s.recordAt(h, batch); err != nil {
			s.log.WithError(err).WithFields(logrus.Fields{"Host": h.address.String(), "Streams": len(batch)}).Debug("origins of streams not recorded, trying again")
			s.putBack(h.address, batch)
			time.Sleep(recordStreamsInterval)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.queues, h.address)
}

// take empties the queue of a host and returns what callers may still resume. Where there
// is nothing, the queue is removed.
func (s *Streams) take(a netip.AddrPort) []keptStream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	batch := slices.DeleteFunc(s.queues[a], func(k keptStream) bool { return !now.Before(k.expiresAt) })
	if len(batch) == 0 {
		delete(s.queues, a)
		return nil
	}
	s.queues[a] = nil
	return batch
}

func (s *Streams) putBack(a netip.AddrPort, batch []keptStream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := append(batch, s.queues[a]...)
	s.queues[a] = queue[:min(len(queue), maxQueuedStreams)]
}

func (s *Streams) recordAt(h host, batch []keptStream) error {
	r := &controlv1.RecordStreamsRequest{Environment: s.environment}
	for _, k := range batch {
		r.Streams = append(r.Streams, &controlv1.StreamOrigin{
			Request: k.origin.GetRequest(), Pool: k.origin.GetPool(), Version: k.origin.GetVersion(), Lifetime: durationpb.New(time.Until(k.expiresAt)),
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordStreamsTimeout)
	defer cancel()
	_, err := h.streams.RecordStreams(ctx, connect.NewRequest(r))
	return err
}

// Find returns the origin of the stream that a request began. The error is an
// *UnknownStreamError.
func (s *Streams) Find(ctx context.Context, request string) (*controlv1.StreamOrigin, error) {
	unknown := &UnknownStreamError{Request: request}
	if request == "" {
		return nil, unknown
	}
	if o := s.find(request); o != nil {
		return o, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	hosts := s.client.streamHosts(request)
	for range findStreamRounds {
		o, answered := s.ask(ctx, request, hosts)
		if o != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.keep(o)
			return o, nil
		}
		unknown.Asked, unknown.Answered = len(hosts), max(unknown.Answered, answered)
		if !clock.Sleep(ctx, findStreamInterval) {
			break
		}
	}
	return nil, unknown
}

// find returns the origin of a stream that this entry keeps, or nil.
func (s *Streams) find(request string) *controlv1.StreamOrigin {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.kept[request]; ok && time.Now().Before(k.expiresAt) {
		return k.origin
	}
	return nil
}

// ask asks hosts together for the origin of a stream and returns the first that is known,
// or nil, and the number of hosts that answered.
func (s *Streams) ask(ctx context.Context, request string, hosts []host) (*controlv1.StreamOrigin, int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		origin *controlv1.StreamOrigin
		err    error
	}
	answers := make(chan answer, len(hosts))
	for _, h := range hosts {
		go func() {
			res, err := h.streams.FindStream(ctx, connect.NewRequest(&controlv1.FindStreamRequest{Environment: s.environment, Request: request}))
			if err != nil {
				answers <- answer{err: err}
				return
			}
			answers <- answer{origin: res.Msg.GetStream()}
		}()
	}
	answered := 0
	for range hosts {
		a := <-answers
		switch {
		case a.origin != nil:
			return a.origin, answered + 1
		case a.err == nil:
			answered++
		default:
			s.log.WithError(a.err).Debug("control host not asked for the origin of a stream")
		}
	}
	return nil, answered
}

// streamHosts returns the control hosts in the order in which they keep the origin of the
// stream that a request began. Entries that know the same hosts get the same order.
func (c *Client) streamHosts(request string) []host {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := slices.Clone(c.hosts)
	if len(c.reported) > 0 {
		out = out[:min(len(out), len(c.reported))]
	}
	ranks := map[netip.AddrPort]uint64{}
	for _, h := range out {
		ranks[h.address] = xxhash.Sum64String(h.address.String() + " " + request)
	}
	slices.SortFunc(out, func(a, b host) int { return cmp.Compare(ranks[a.address], ranks[b.address]) })
	return out
}

// knows reports whether a host is one of the control hosts.
func (c *Client) knows(a netip.AddrPort) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.hosts, func(h host) bool { return h.address == a })
}
