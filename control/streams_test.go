package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestStreams guards against origins that change or are given out after their time, and
// against memory that is not freed.
func TestStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStreams()
		record := func(request, version string, lifetime time.Duration) {
			_, err := s.RecordStreams(t.Context(), connect.NewRequest(&controlv1.RecordStreamsRequest{Environment: "e", Streams: []*controlv1.StreamOrigin{
				{Request: request, Pool: "p", Version: version, Lifetime: durationpb.New(lifetime)},
			}}))
			if err != nil {
				t.Fatal(err)
			}
		}
		find := func(environment, request string) string {
			res, err := s.FindStream(t.Context(), connect.NewRequest(&controlv1.FindStreamRequest{Environment: environment, Request: request}))
			if err != nil {
				t.Fatal(err)
			}
			o := res.Msg.GetStream()
			return fmt.Sprint(o.GetPool(), " ", o.GetVersion(), " ", o.GetLifetime().AsDuration())
		}
		record("a", "v1", 14*time.Second)
		record("a", "v2", 14*time.Second)
		record("b", "v2", 2*time.Second)
		time.Sleep(time.Second)
		for _, k := range []struct{ environment, request, want string }{
			{"e", "a", "p v1 13s"},
			{"e", "b", "p v2 1s"},
			{"e", "c", "  0s"},
			{"other", "a", "  0s"},
		} {
			if got := find(k.environment, k.request); got != k.want {
				t.Errorf("%s in %s: %q, want %q", k.request, k.environment, got, k.want)
			}
		}
		time.Sleep(time.Second)
		if got := find("e", "b"); got != "  0s" {
			t.Errorf("b after its time: %q", got)
		}
		time.Sleep(time.Minute)
		record("d", "v3", time.Second)
		if len(s.origins) != 1 {
			t.Errorf("%d origins are kept, want 1", len(s.origins))
		}
	})
}
