package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"ebonyreel/clock"
	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/replica"
)

const (
	// maxQueuedMessages is the number of messages that may wait in one lane, and
	// maxQueuedBytes their size, which one message may exceed. Further ones are
	// dropped, and the replica sends them again.
	maxQueuedMessages = 1024
	maxQueuedBytes    = 16 << 20
	// maxDeliverBytes is the size of the messages of one request above which no more
	// are added to it.
	maxDeliverBytes = 1 << 20
	// deliverTimeout bounds one call.
	deliverTimeout = time.Second
	// maxPartBytes is the size of a request above which it is delivered in parts of
	// that size, so that each call has a bounded size too.
	maxPartBytes = 128 << 10
	// partRetryTimeout is the age of a part after which it is not tried again, and
	// partRetryInterval the time between two tries. The replica gives up a snapshot of
	// which nothing arrives only after the last try.
	partRetryTimeout  = 1500 * time.Millisecond
	partRetryInterval = 100 * time.Millisecond
	// bulkIdleTimeout is the time after which an idle connection for bulk data is closed,
	// as its pings take processor time.
	bulkIdleTimeout = 10 * time.Second
	// requestBits is the number of the bits of a request's number that count the requests.
	// Those above them are drawn at random when the lane starts.
	requestBits = 32
	// maxUnfinishedBytes bounds the unfinished requests of all senders, and so the
	// largest request. A larger state does not fit into the memory of a host.
	maxUnfinishedBytes = 64 << 20
	// unfinishedTimeout is the time after its last part when a request is dropped. A
	// sender gives up before.
	unfinishedTimeout = 5 * time.Second
)

// lane delivers messages to one host, in order and one call at a time.
type lane struct {
	client replicav1connect.ReplicaServiceClient
	queue  chan queuedMessage
	// queuedBytes is the size of the messages in queue.
	queuedBytes atomic.Int64
	// target is the server that the newest message is for. A host that lost its disk is
	// another server: what waits for the one before it is dropped.
	target atomic.Pointer[laneTarget]
}

// laneTarget is the server to which a lane delivers.
type laneTarget struct {
	// id is the ID of the server.
	id string
	// hasSnapshot is true while a snapshot for the server waits or is being delivered.
	hasSnapshot atomic.Bool
}

// queuedMessage is a message that waits for delivery.
type queuedMessage struct {
	message *replicav1.Message
	target  *laneTarget
	// bytes is the size of the message.
	bytes int64
}

func newLane(c replicav1connect.ReplicaServiceClient) *lane {
	return &lane{client: c, queue: make(chan queuedMessage, maxQueuedMessages)}
}

// enqueue queues a message for delivery, and reports whether there was room. A lane
// has room for one snapshot. It must not be called from two goroutines at a time.
func (l *lane) enqueue(m *replicav1.Message) bool {
	if l.queuedBytes.Load() >= maxQueuedBytes {
		return false
	}
	target := l.target.Load()
	if target == nil || target.id != m.GetTo() {
		target = &laneTarget{id: m.GetTo()}
		l.target.Store(target)
	}
	isSnapshot := m.GetSnapshot() != nil
	if isSnapshot && !target.hasSnapshot.CompareAndSwap(false, true) {
		return false
	}
	q := queuedMessage{message: m, target: target, bytes: int64(proto.Size(m))}
	l.queuedBytes.Add(q.bytes)
	select {
	case l.queue <- q:
		return true
	default:
		l.queuedBytes.Add(-q.bytes)
		if isSnapshot {
			target.hasSnapshot.Store(false)
		}
		return false
	}
}

// next waits for the next messages for one request and returns them with their target.
// It returns none once the context has ended.
func (l *lane) next(ctx context.Context) ([]*replicav1.Message, *laneTarget) {
	var out []*replicav1.Message
	var target *laneTarget
	size := int64(0)
	for len(out) == 0 || len(l.queue) > 0 && len(out) < maxQueuedMessages && size < maxDeliverBytes {
		select {
		case <-ctx.Done():
			return nil, nil
		case q := <-l.queue:
			l.queuedBytes.Add(-q.bytes)
			if q.target == l.target.Load() {
				out, target, size = append(out, q.message), q.target, size+q.bytes
			}
		}
	}
	return out, target
}

// deliver sends the queued messages of a lane until the context ends. Messages that
// are already queued share one request. The replica sends lost ones again.
func (p *peers) deliver(ctx context.Context, l *lane) {
	// The clock may have been set back since the last start, so it can't order requests
	// of two starts.
	number := uint64(rand.Uint32()) << requestBits
	for {
		messages, target := l.next(ctx)
		if len(messages) == 0 {
			return
		}
		r := &replicav1.DeliverRequest{Id: p.id, Name: p.self.Name, Address: p.self.Address.String(), Messages: messages}
		hasSnapshot := slices.ContainsFunc(messages, func(m *replicav1.Message) bool { return m.GetSnapshot() != nil })
		if proto.Size(r) <= maxPartBytes {
			p.deliverWhole(ctx, l, r)
		} else if b, err := proto.Marshal(r); err == nil {
			number++
			p.deliverParts(ctx, l, target, number, b)
		}
		if hasSnapshot {
			target.hasSnapshot.Store(false)
		}
	}
}

func (p *peers) deliverWhole(ctx context.Context, l *lane, r *replicav1.DeliverRequest) {
	call, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	start := time.Now()
	_, err := l.client.Deliver(call, connect.NewRequest(r))
	p.deliveries.observe(start, err)
}

// deliverParts delivers an encoded request in parts, or as a whole to a host that takes
// no parts, as its program is older. A part that is not acknowledged ends the delivery.
func (p *peers) deliverParts(ctx context.Context, l *lane, target *laneTarget, number uint64, b []byte) {
	for offset := 0; offset < len(b) && target == l.target.Load(); offset += maxPartBytes {
		r := &replicav1.DeliverPartRequest{
			Id: p.id, Number: number, Offset: uint64(offset), Size: uint64(len(b)), Part: b[offset:min(offset+maxPartBytes, len(b))],
		}
		err := p.deliverPart(ctx, l, r)
		if connect.CodeOf(err) == connect.CodeUnimplemented {
			whole := &replicav1.DeliverRequest{}
			if proto.Unmarshal(b, whole) == nil {
				p.deliverWhole(ctx, l, whole)
			}
			return
		}
		if err != nil {
			return
		}
		if target.hasSnapshot.Load() && p.partDelivered != nil {
			p.partDelivered(target.id)
		}
	}
}

// deliverPart delivers one part, and tries again for partRetryTimeout.
func (p *peers) deliverPart(ctx context.Context, l *lane, r *replicav1.DeliverPartRequest) error {
	for start := time.Now(); ; {
		call, cancel := context.WithTimeout(ctx, deliverTimeout)
		began := time.Now()
		_, err := l.client.DeliverPart(call, connect.NewRequest(r))
		cancel()
		p.deliveries.observe(began, err)
		switch connect.CodeOf(err) {
		case connect.CodeUnimplemented, connect.CodeFailedPrecondition:
			return err
		}
		if err == nil || time.Since(start) >= partRetryTimeout || !clock.Sleep(ctx, partRetryInterval) {
			return err
		}
	}
}

// PartError reports a part of a request that does not fit those before it.
type PartError struct {
	// Number is that of the request, and Offset where the part begins.
	Number uint64
	Offset uint64
	Reason string
}

func (e *PartError) Error() string {
	return fmt.Sprintf("part at %d of request %d refused: %s", e.Offset, e.Number, e.Reason)
}

// partJoiner joins the parts of the newest request of each sender. It is safe for
// concurrent use, and its zero value is empty.
type partJoiner struct {
	mu sync.Mutex
	// requests is keyed by the ID of the sender.
	requests map[string]*joinedRequest
}

// joinedRequest is a request whose parts arrive.
type joinedRequest struct {
	number uint64
	// received holds the parts so far, and is nil once the request is delivered. Its
	// capacity is the size of the request.
	received  []byte
	delivered bool
	lastPart  time.Time
}

// add adds a part, and calls deliver with the request that it completes. A part may
// come again. The error is a *PartError, a *replica.BusyError, or that of deliver, after
// which the last part may come again.
func (j *partJoiner) add(now time.Time, r *replicav1.DeliverPartRequest, deliver func(*replicav1.DeliverRequest) error) error {
	j.expire(now)
	j.mu.Lock()
	defer j.mu.Unlock()
	q, err := j.request(r)
	if err != nil {
		return err
	}
	q.lastPart = now
	if q.delivered {
		return nil
	}
	if r.GetOffset() > uint64(len(q.received)) || r.GetSize() != uint64(cap(q.received)) {
		return &PartError{Number: r.GetNumber(), Offset: r.GetOffset(), Reason: "a part before it is missing"}
	}
	if r.GetOffset()+uint64(len(r.GetPart())) > uint64(len(q.received)) {
		q.received = append(q.received[:r.GetOffset()], r.GetPart()...)
	}
	if len(q.received) < cap(q.received) {
		return nil
	}
	whole := &replicav1.DeliverRequest{}
	if err := proto.Unmarshal(q.received, whole); err != nil {
		delete(j.requests, r.GetId())
		return &PartError{Number: r.GetNumber(), Offset: r.GetOffset(), Reason: err.Error()}
	}
	if err := deliver(whole); err != nil {
		return err
	}
	q.received, q.delivered = nil, true
	return nil
}

// request returns the request of a part. The first part of a newer request drops the
// one before it.
func (j *partJoiner) request(r *replicav1.DeliverPartRequest) (*joinedRequest, error) {
	others := uint64(0)
	for id, q := range j.requests {
		if id != r.GetId() {
			others += uint64(cap(q.received))
		}
	}
	q := j.requests[r.GetId()]
	reason := ""
	switch {
	case r.GetSize() > maxUnfinishedBytes:
		reason = "the request is too large"
	case r.GetOffset() > r.GetSize() || uint64(len(r.GetPart())) > r.GetSize()-r.GetOffset():
		reason = "the part is beyond the end"
	case q != nil && r.GetNumber() == q.number:
		return q, nil
	case q != nil && r.GetNumber()>>requestBits == q.number>>requestBits && r.GetNumber() < q.number:
		reason = "a newer request has begun"
	case r.GetOffset() > 0:
		reason = "a part before it is missing"
	case others+r.GetSize() > maxUnfinishedBytes:
		return nil, &replica.BusyError{Reason: "too many bytes of unfinished requests"}
	}
	if reason != "" {
		return nil, &PartError{Number: r.GetNumber(), Offset: r.GetOffset(), Reason: reason}
	}
	if j.requests == nil {
		j.requests = map[string]*joinedRequest{}
	}
	q = &joinedRequest{number: r.GetNumber(), received: make([]byte, 0, r.GetSize())}
	j.requests[r.GetId()] = q
	return q, nil
}

// expire drops the requests of which no part has come for unfinishedTimeout.
func (j *partJoiner) expire(now time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, q := range j.requests {
		if now.Sub(q.lastPart) > unfinishedTimeout {
			delete(j.requests, id)
		}
	}
}

// partDelivered tells the loop that a part has reached a server that awaits a snapshot.
type partDelivered struct {
	// server is the ID of the server.
	server string
}

func (*partDelivered) bytes() int { return 0 }

func (d *partDelivered) handle(l *loop, now time.Time) {
	l.node.KeepSnapshot(now, d.server)
}
