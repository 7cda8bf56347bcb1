package controls

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"

	controlv1 "ebonyreel/proto/control/v1"
)

const (
	// findStreamTimeout bounds the search for the origin of a stream. Its record may
	// arrive shortly after the request that resumes the stream, so that the keepers are
	// asked findStreamRounds times, each findStreamInterval later.
	findStreamTimeout  = 300 * time.Millisecond
	findStreamRounds   = 3
	findStreamInterval = 50 * time.Millisecond
)

// UnknownStreamError reports a stream that cannot go on here, as it is not known where it
// began.
type UnknownStreamError struct {
	// Request is the ID of the request that began the stream.
	Request string
	// Calls is the number of calls to control hosts and entries, and Answers the number of
	// those that were answered in time.
	Calls   int
	Answers int
}

func (e *UnknownStreamError) Error() string {
	return fmt.Sprintf("origin of the stream of request %.40q is not known, %d of %d calls were answered", e.Request, e.Answers, e.Calls)
}

// Find returns the origin of the stream that a request began. The error is an
// *UnknownStreamError.
func (s *Streams) Find(ctx context.Context, request string) (*controlv1.StreamOrigin, error) {
	if o := s.findHere(request); o != nil {
		s.metrics.Add("FoundHere", 1)
		return o, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	hosts := s.hostKeepers(request)
	var peers []streamKeeper
	q := &streamQuery{environment: s.environment, request: request, log: s.log, answers: make(chan streamAnswer)}
	round := time.NewTimer(0)
	defer round.Stop()
	for rounds := 0; rounds < findStreamRounds || q.open > 0; {
		select {
		case <-ctx.Done():
			return nil, s.unknown(q)
		case <-round.C:
			q.ask(ctx, hosts)
			if rounds == 1 {
				s.mu.Lock()
				peers = s.peerKeepers(request)
				s.mu.Unlock()
			}
			q.ask(ctx, peers)
			if rounds++; rounds < findStreamRounds {
				round.Reset(findStreamInterval)
			}
		case a := <-q.answers:
			if o := q.receive(a); o != nil {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.keep(o)
				s.metrics.Add("Found", 1)
				return o, nil
			}
		}
	}
	return nil, s.unknown(q)
}

// findHere returns the origin of a stream that this entry keeps, or nil.
func (s *Streams) findHere(request string) *controlv1.StreamOrigin {
	if o := s.register.Find(s.environment, request); o != nil {
		return o
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if k, ok := s.kept[request]; ok && time.Now().Before(k.expiresAt) {
		return k.origin
	}
	return nil
}

// streamQuery is the search for the origin of one stream.
type streamQuery struct {
	environment string
	request     string
	log         *logrus.Entry
	answers     chan streamAnswer
	// calls is the number of calls made, open those without an answer yet, and answered
	// those that did not fail.
	calls    int
	open     int
	answered int
}

type streamAnswer struct {
	origin *controlv1.StreamOrigin
	err    error
}

// ask asks keepers for the origin until the context ends.
func (q *streamQuery) ask(ctx context.Context, keepers []streamKeeper) {
	for _, k := range keepers {
		q.calls, q.open = q.calls+1, q.open+1
		go func() {
			res, err := k.client.FindStream(ctx, connect.NewRequest(&controlv1.FindStreamRequest{Environment: q.environment, Request: q.request}))
			a := streamAnswer{err: err}
			if err == nil {
				a.origin = res.Msg.GetStream()
			}
			select {
			case q.answers <- a:
			case <-ctx.Done():
			}
		}()
	}
}

// receive takes one answer and returns its origin, or nil.
func (q *streamQuery) receive(a streamAnswer) *controlv1.StreamOrigin {
	q.open--
	if a.err != nil {
		q.log.WithError(a.err).Debug("origin of a stream not asked for")
		return nil
	}
	q.answered++
	return a.origin
}

// unknown returns the error of a search without result.
func (s *Streams) unknown(q *streamQuery) error {
	s.metrics.Add("Unknown", 1)
	return &UnknownStreamError{Request: q.request, Calls: q.calls, Answers: q.answered}
}
