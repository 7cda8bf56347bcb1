package streams

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	controlv1 "ebonyreel/proto/control/v1"
)

// TestRegister guards against origins that change or are given out after their time, and
// against memory that is not freed.
func TestRegister(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRegister(3)
		record := func(request, version string, lifetime time.Duration) error {
			_, err := r.RecordStreams(t.Context(), connect.NewRequest(&controlv1.RecordStreamsRequest{Environment: "e", Streams: []*controlv1.StreamOrigin{
				{Request: request, Pool: "p", Version: version, Lifetime: durationpb.New(lifetime)},
			}}))
			return err
		}
		find := func(environment, request string) string {
			res, err := r.FindStream(t.Context(), connect.NewRequest(&controlv1.FindStreamRequest{Environment: environment, Request: request}))
			if err != nil {
				t.Fatal(err)
			}
			o := res.Msg.GetStream()
			return fmt.Sprint(o.GetPool(), " ", o.GetVersion(), " ", o.GetLifetime().AsDuration())
		}
		for _, k := range []struct {
			request, version string
			lifetime         time.Duration
		}{{"a", "v1", 14 * time.Second}, {"a", "v2", 14 * time.Second}, {"b", "v2", 2 * time.Second}, {"full", "v2", 2 * time.Second}} {
			if err := record(k.request, k.version, k.lifetime); err != nil {
				t.Fatal(err)
			}
		}
		var full *FullError
		if err := record("one more", "v1", time.Second); !errors.As(err, &full) {
			t.Errorf("a full register takes a stream: %v", err)
		}
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
		if err := record("d", "v3", time.Second); err != nil {
			t.Fatal(err)
		}
		if len(r.origins) != 1 {
			t.Errorf("%d origins are kept, want 1", len(r.origins))
		}
	})
}
