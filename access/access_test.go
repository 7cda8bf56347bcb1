package access

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/datadriven"

	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/proto/control/v1/controlv1connect"
)

// hashOf returns the SHA-256 of a key in hexadecimal.
func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TestCheck checks, for each input line, whether a header permits a procedure, and
// how many calls were refused. The command of a case names the table.
func TestCheck(t *testing.T) {
	tables := map[string]*Table{
		"open": NewTable(nil, nil),
		"keys": NewTable([]Holder{{Name: "entry-0", KeyHash: hashOf("process-key")}}, []Holder{{Name: "ama", KeyHash: strings.ToUpper(hashOf("operator-key"))}}),
	}
	datadriven.RunTest(t, "testdata/check", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		table := tables[d.Cmd]
		for line := range strings.Lines(d.Input) {
			procedure, header, _ := strings.Cut(strings.TrimSpace(line), " ")
			name, err := table.check(procedure, header)
			fmt.Fprintf(&out, "%q %v\n", name, err)
		}
		fmt.Fprintf(&out, "refused %d\n", table.Refused.Value())
		return out.String()
	})
}

type fakeControl struct {
	controlv1connect.UnimplementedControlServiceHandler
}

// Submit returns the name that control would record.
func (fakeControl) Submit(ctx context.Context, r *connect.Request[controlv1.SubmitRequest]) (*connect.Response[controlv1.SubmitResponse], error) {
	return connect.NewResponse(&controlv1.SubmitResponse{Document: &controlv1.Document{Submitter: HolderName(ctx, r.Msg.GetSubmitter())}}), nil
}

func (fakeControl) Watch(_ context.Context, _ *connect.Request[controlv1.WatchRequest], out *connect.ServerStream[controlv1.WatchResponse]) error {
	return out.Send(&controlv1.WatchResponse{Revision: 1})
}

// TestInterceptors checks unary calls and streams with the right key, a key of the
// other kind of holder, an unknown key and none, and that a key that changes in
// its file is sent with the next call.
func TestInterceptors(t *testing.T) {
	table := NewTable([]Holder{{Name: "entry-0", KeyHash: hashOf("process-key")}}, []Holder{{Name: "ama", KeyHash: hashOf("operator-key")}})
	_, h := controlv1connect.NewControlServiceHandler(fakeControl{}, connect.WithInterceptors(table.ServerInterceptor()))
	s := httptest.NewServer(h)
	defer s.Close()
	path := filepath.Join(t.TempDir(), "key")
	for i, c := range []struct {
		key           string
		submit, watch connect.Code
	}{
		{"operator-key", 0, connect.CodePermissionDenied},
		{"process-key\n", connect.CodePermissionDenied, 0},
		{"wrong-key", connect.CodePermissionDenied, connect.CodePermissionDenied},
		{"", connect.CodeUnauthenticated, connect.CodeUnauthenticated},
	} {
		if err := os.WriteFile(path, []byte(c.key), 0o600); err != nil {
			t.Fatal(err)
		}
		f, err := OpenKeyFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if i > 0 {
			// The file has changed, so a KeyFile with an old key must send the new one.
			modified := time.Now().Add(time.Duration(i) * time.Minute)
			if err := os.Chtimes(path, modified, modified); err != nil {
				t.Fatal(err)
			}
			f.checked, f.key = time.Time{}, "an old key"
		}
		client := controlv1connect.NewControlServiceClient(s.Client(), s.URL, connect.WithInterceptors(ClientInterceptor(f)))
		res, err := client.Submit(context.Background(), connect.NewRequest(&controlv1.SubmitRequest{Submitter: "kofi"}))
		if codeOf(err) != c.submit {
			t.Errorf("submit with key %q: %v", c.key, err)
		}
		if err == nil && res.Msg.GetDocument().GetSubmitter() != "ama" {
			t.Errorf("submitter is %s, expected the holder of the key", res.Msg.GetDocument().GetSubmitter())
		}
		w, err := client.Watch(context.Background(), connect.NewRequest(&controlv1.WatchRequest{}))
		if err == nil {
			w.Receive()
			err = w.Err()
		}
		if codeOf(err) != c.watch {
			t.Errorf("watch with key %q: %v", c.key, err)
		}
	}
	if n := table.Refused.Value(); n != 6 {
		t.Errorf("%d calls counted as refused, expected 6", n)
	}
	if _, err := OpenKeyFile(path + ".none"); err == nil {
		t.Error("opened a key file that does not exist")
	}
}

// codeOf returns the code of an error, or zero for nil.
func codeOf(err error) connect.Code {
	if err == nil {
		return 0
	}
	return connect.CodeOf(err)
}
