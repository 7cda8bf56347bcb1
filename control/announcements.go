package control

import (
	"context"
	"sync"
	"time"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// announcementDelay is how long the first announcement of a batch waits for
	// others.
	announcementDelay = 25 * time.Millisecond
	// maxBatchAnnouncements bounds the announcements of one batch.
	maxBatchAnnouncements = 1024
	// batchTimeout bounds the recording of one batch.
	batchTimeout = 500 * time.Millisecond
)

// NotRecordedError reports an announcement that the leader has not recorded.
type NotRecordedError struct {
	Reason string
}

func (e *NotRecordedError) Error() string {
	return "announcement not recorded: " + e.Reason
}

// announcementBatcher passes the announcements that a host receives on to the leader
// in batches, one at a time. While there is no leader they wait in one place, instead
// of calling each for itself once there is one. It is safe for concurrent use.
type announcementBatcher struct {
	// record records announcements at the leader and returns the result of each. With
	// an error, none may have been recorded.
	record func(ctx context.Context, announcements []*controlv1.AnnounceEndpointRequest) ([]error, error)

	mu      sync.Mutex
	pending []*pendingAnnouncement
	// flushing is true while flush runs.
	flushing bool
}

// pendingAnnouncement is an announcement whose endpoint awaits an answer.
type pendingAnnouncement struct {
	request *controlv1.AnnounceEndpointRequest
	// done is closed when the endpoint no longer waits.
	done <-chan struct{}
	// result has room for the one result.
	result chan error
}

// announce records an announcement and returns once it is recorded.
func (b *announcementBatcher) announce(ctx context.Context, r *controlv1.AnnounceEndpointRequest) error {
	p := &pendingAnnouncement{request: r, done: ctx.Done(), result: make(chan error, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, p)
	if !b.flushing {
		b.flushing = true
		go b.flush()
	}
	b.mu.Unlock()
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// flush sends batches until nothing is pending. What could not be recorded is sent
// again with the next batch, as long as its endpoint waits.
func (b *announcementBatcher) flush() {
	for {
		time.Sleep(announcementDelay)
		batch := b.take()
		if len(batch) == 0 {
			return
		}
		requests := make([]*controlv1.AnnounceEndpointRequest, len(batch))
		for i, p := range batch {
			requests[i] = p.request
		}
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		results, err := b.record(ctx, requests)
		cancel()
		if err != nil {
			b.mu.Lock()
			b.pending = append(batch, b.pending...)
			b.mu.Unlock()
			continue
		}
		for i, p := range batch {
			p.result <- results[i]
		}
	}
}

// take removes and returns the next batch. Where there is none, flushing ends.
func (b *announcementBatcher) take() []*pendingAnnouncement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var batch, rest []*pendingAnnouncement
	for _, p := range b.pending {
		select {
		case <-p.done:
			continue
		default:
		}
		if len(batch) < maxBatchAnnouncements {
			batch = append(batch, p)
		} else {
			rest = append(rest, p)
		}
	}
	b.pending = rest
	b.flushing = len(batch) > 0
	return batch
}
