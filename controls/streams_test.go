package controls

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/transport"
)

// streamHost is a control host that keeps streams. While it is silent it answers nothing,
// and while it fails it answers with errors.
type streamHost struct {
	controlv1connect.UnimplementedStreamServiceHandler

	mu      sync.Mutex
	silent  bool
	fails   bool
	origins map[string]*controlv1.StreamOrigin
}

func (s *streamHost) set(silent, fails bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.fails = silent, fails
}

func (s *streamHost) answers(ctx context.Context) error {
	s.mu.Lock()
	silent, fails := s.silent, s.fails
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if fails {
		return connect.NewError(connect.CodeUnavailable, errors.New("starting"))
	}
	return nil
}

func (s *streamHost) RecordStreams(ctx context.Context, r *connect.Request[controlv1.RecordStreamsRequest]) (*connect.Response[controlv1.RecordStreamsResponse], error) {
	if err := s.answers(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range r.Msg.GetStreams() {
		s.origins[o.GetRequest()] = o
	}
	return connect.NewResponse(&controlv1.RecordStreamsResponse{}), nil
}

func (s *streamHost) FindStream(ctx context.Context, r *connect.Request[controlv1.FindStreamRequest]) (*connect.Response[controlv1.FindStreamResponse], error) {
	if err := s.answers(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return connect.NewResponse(&controlv1.FindStreamResponse{Stream: s.origins[r.Msg.GetRequest()]}), nil
}

func (s *streamHost) knows(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.origins[request] != nil
}

// startStreamEntries makes entries keep streams for each other.
func startStreamEntries(t *testing.T, entries ...*Streams) {
	t.Helper()
	var all peerList
	for _, e := range entries {
		_, handler := controlv1connect.NewStreamServiceHandler(e.Register())
		e.own = serve(t, handler)
		all.addresses = append(all.addresses, e.own)
	}
	for _, e := range entries {
		e.peers = all
	}
}

// startStreamHosts starts control hosts and returns them with their addresses.
func startStreamHosts(t *testing.T, n int) ([]*streamHost, []netip.AddrPort) {
	t.Helper()
	var hosts []*streamHost
	var addresses []netip.AddrPort
	for range n {
		h := &streamHost{origins: map[string]*controlv1.StreamOrigin{}}
		_, handler := controlv1connect.NewStreamServiceHandler(h)
		hosts, addresses = append(hosts, h), append(addresses, serve(t, handler))
	}
	return hosts, addresses
}

// newStreamEntry returns the streams of an entry that knows some control hosts and no
// entries.
func newStreamEntry(hosts []netip.AddrPort) *Streams {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewStreams(NewClient(transport.NewClient(), hosts), peerList{}, netip.AddrPort{}, "e", logrus.NewEntry(log))
}

// peerList are the addresses of entries.
type peerList struct {
	addresses []netip.AddrPort
}

func (p peerList) EntryPeers() []netip.AddrPort { return p.addresses }

func origin(request string, lifetime time.Duration) *controlv1.StreamOrigin {
	return &controlv1.StreamOrigin{Request: request, Pool: "p", Version: "v1", Lifetime: durationpb.New(lifetime)}
}

// await waits until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Since(start) > 5*time.Second {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}

// TestStreamsFound guards against streams that are refused although one of the control
// hosts knows their origin, because the others are silent, fail or have just started.
func TestStreamsFound(t *testing.T) {
	for _, k := range []struct {
		name          string
		silent, fails bool
	}{{name: "silent", silent: true}, {name: "failing", fails: true}, {name: "started again"}} {
		t.Run(k.name, func(t *testing.T) {
			hosts, addresses := startStreamHosts(t, 3)
			first, second := newStreamEntry(addresses), newStreamEntry(addresses)
			first.Record(origin("r", 14*time.Second))
			for _, h := range hosts {
				await(t, "the origin is recorded", func() bool { return h.knows("r") })
			}
			for _, h := range hosts[1:] {
				h.mu.Lock()
				clear(h.origins)
				h.mu.Unlock()
				h.set(k.silent, k.fails)
			}
			o, err := second.Find(t.Context(), "r")
			if err != nil || o.GetVersion() != "v1" {
				t.Fatalf("origin %v, error %v", o, err)
			}
			hosts[0].set(true, false)
			if _, err := second.Find(t.Context(), "r"); err != nil {
				t.Errorf("the entry that went on with the stream forgot it: %v", err)
			}
		})
	}
}

// TestStreamsUnknown guards against a search for an origin that holds a caller for long, or
// that takes silence for an answer.
func TestStreamsUnknown(t *testing.T) {
	hosts, addresses := startStreamHosts(t, 3)
	first, second := newStreamEntry(addresses), newStreamEntry(addresses)
	for _, silent := range []bool{false, true} {
		for _, h := range hosts {
			h.set(silent, false)
		}
		start := time.Now()
		_, err := second.Find(t.Context(), "r")
		var unknown *UnknownStreamError
		if !errors.As(err, &unknown) || silent != (unknown.Answers == 0) {
			t.Errorf("silent=%t: error %v", silent, err)
		}
		if took := time.Since(start); took > 2*findStreamTimeout {
			t.Errorf("silent=%t: took %s", silent, took)
		}
	}
	first.Record(origin("own", 14*time.Second))
	if _, err := first.Find(t.Context(), "own"); err != nil {
		t.Errorf("the entry that began a stream does not know it without control: %v", err)
	}
	if _, err := first.Find(t.Context(), ""); err == nil {
		t.Error("a stream without a name was found")
	}
}

// TestStreamsRecordedLate guards against streams that are lost to other entries because a
// control host did not answer when they began, and against ones that wait for a host longer
// than their callers do.
func TestStreamsRecordedLate(t *testing.T) {
	hosts, addresses := startStreamHosts(t, 1)
	first, second := newStreamEntry(addresses), newStreamEntry(addresses)
	hosts[0].set(false, true)
	first.Record(origin("short", 50*time.Millisecond))
	for i := range 100 {
		first.Record(origin(fmt.Sprint("r", i), 14*time.Second))
	}
	time.Sleep(2 * recordStreamsInterval)
	hosts[0].set(false, false)
	for i := range 100 {
		await(t, "the origin is recorded late", func() bool { return hosts[0].knows(fmt.Sprint("r", i)) })
	}
	if hosts[0].knows("short") {
		t.Error("the origin of a stream was recorded after its caller's time")
	}
	if _, err := second.Find(t.Context(), "r99"); err != nil {
		t.Error(err)
	}
	await(t, "the sender ends", func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return len(first.queues) == 0
	})
}

// TestStreamsWithoutControl guards against streams that are lost with the entry that began
// them while no control host answers.
func TestStreamsWithoutControl(t *testing.T) {
	for _, k := range []struct {
		name          string
		silent, fails bool
	}{{name: "silent", silent: true}, {name: "failing", fails: true}} {
		t.Run(k.name, func(t *testing.T) {
			hosts, addresses := startStreamHosts(t, 3)
			var entries []*Streams
			for range 4 {
				entries = append(entries, newStreamEntry(addresses))
			}
			startStreamEntries(t, entries...)
			first := entries[0]
			for _, h := range hosts {
				h.set(k.silent, k.fails)
			}
			for i := range 20 {
				first.Record(origin(fmt.Sprint("r", i), 14*time.Second))
			}
			// What began before the silence was noticed.
			time.Sleep(2 * (recordStreamsTimeout + recordStreamsInterval))
			for i := range 20 {
				first.Record(origin(fmt.Sprint("later", i), 14*time.Second))
			}
			time.Sleep(recordStreamsInterval)
			for i := range 20 {
				for _, e := range entries[1:] {
					for _, request := range []string{fmt.Sprint("r", i), fmt.Sprint("later", i)} {
						if o, err := e.Find(t.Context(), request); err != nil || o.GetVersion() != "v1" {
							t.Errorf("%s: origin %v, error %v", request, o, err)
						}
					}
				}
			}
			for _, h := range hosts {
				h.set(false, false)
				await(t, "control keeps the stream at last", func() bool { return h.knows("later19") })
			}
		})
	}
}

// TestStreamKeepers checks that entries which learnt of the control hosts in different
// orders use the same ones for a stream, and that the streams are spread over all hosts.
func TestStreamKeepers(t *testing.T) {
	var addresses, reversed []netip.AddrPort
	for i := range 9 {
		a := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:80", i+1))
		addresses, reversed = append(addresses, a), append([]netip.AddrPort{a}, reversed...)
	}
	a, b := newStreamEntry(addresses), newStreamEntry(reversed)
	used := map[netip.AddrPort]int{}
	for i := range 900 {
		request := fmt.Sprint("r", i)
		left, right := a.hostKeepers(request), b.hostKeepers(request)
		for n := range streamCopies {
			if left[n].address != right[n].address {
				t.Fatalf("host %d of %s is %s and %s", n, request, left[n].address, right[n].address)
			}
			used[left[n].address]++
		}
	}
	for _, h := range addresses {
		if used[h] < 200 || used[h] > 400 {
			t.Errorf("%s keeps %d of 2700 copies, the mean is 300", h, used[h])
		}
	}
}
