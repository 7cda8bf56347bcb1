package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	"ebonyreel/document"
	controlv1 "ebonyreel/proto/control/v1"
	"ebonyreel/quota"
)

// accountDocument has two accounts, one of them with a quota and a priority, and a public
// route. The key "old" of the first is left out where revoked is true.
func accountDocument(t *testing.T, number uint64, revoked bool) *document.Document {
	t.Helper()
	key := func(s string) string { return document.Digest([]byte(s)) }
	old := fmt.Sprintf(`, "KeyHashes": ["%s"]`, key("old"))
	if revoked {
		old = ""
	}
	d, err := document.Parse(fmt.Appendf(nil, `{"Number": %d, "Level": 3, "Requests": {"NeedKey": true},
 "Pools": [{"Name": "desk"}, {"Name": "engines", "Engine": {"Slots": 12, "MemoryTokens": 33466, "HandleLives": "500ms", "HoldLives": "2s"}}],
 "Callers": [
  {"Name": "club", "KeyHash": "%s"%s, "RoutePriority": 1, "Quota": {"Unit": "Tokens", "PerSecond": 1000, "Burst": 1000, "PlainTokens": 200}},
  {"Name": "free", "KeyHash": "%s"}],
 "Routes": [
  {"Name": "bookings", "Host": "h", "PathPrefix": "/bookings/", "Kind": "Once", "Split": [{"Name": "desk", "Weight": 1}], "Timeout": "3s", "Target": "300ms", "Priority": 2},
  {"Name": "reads", "Host": "h", "PathPrefix": "/reads/", "Kind": "Idempotent", "Split": [{"Name": "desk", "Weight": 1}], "Timeout": "3s", "Target": "300ms", "Attempts": 2},
  {"Name": "status", "Host": "h", "PathPrefix": "/status/", "Kind": "Idempotent", "Split": [{"Name": "desk", "Weight": 1}], "Timeout": "3s", "Public": true},
  {"Name": "summaries", "Host": "h", "PathPrefix": "/summaries/", "Kind": "Stream", "Split": [{"Name": "engines", "Weight": 1}], "Timeout": "14s", "Target": "900ms", "Gap": "300ms", "Generates": true}]}`,
		number, key("club-key"), old, key("free-key")))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// scriptedQuotas decides as the script says, and records what is taken and given back.
type scriptedQuotas struct {
	decision string
	// revoke makes the document without the old key come into force.
	revoke func()
	caller *recordingCaller
}

func (s *scriptedQuotas) Take(ctx context.Context, c document.Caller, cost float64, priority int) error {
	_ = s.caller.write("take %g of %s, priority %d\n", cost, c.Name, priority)
	switch s.decision {
	case "over", "unknown":
		return &quota.RefusedError{Account: c.Name, RetryAfter: 700 * time.Millisecond, Unknown: s.decision == "unknown"}
	case "revoked":
		s.revoke()
	case "silent":
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (s *scriptedQuotas) GiveBack(account string, cost float64) {
	_ = s.caller.write("give back %g to %s\n", cost, account)
}

// accountEndpoints are scriptedEndpoints that record the account of each attempt.
type accountEndpoints struct {
	scriptedEndpoints
	// revoke is called once an attempt was made, if set.
	revoke func()
}

func (a *accountEndpoints) Send(ctx context.Context, c *Call, t Attempt) (*Reply, error) {
	a.record("for %q", t.Account)
	if a.revoke != nil {
		a.revoke()
	}
	return a.scriptedEndpoints.Send(ctx, c, t)
}

// TestAccounts serves calls with keys. The command names the route, and its arguments the
// key, what the quota decides, and when the key is taken away; the input is the script of
// the endpoints.
func TestAccounts(t *testing.T) {
	datadriven.RunTest(t, "testdata/accounts", func(t *testing.T, d *datadriven.TestData) string {
		f := &staticFleet{document: accountDocument(t, 1, false)}
		for i, pool := range []string{"desk", "desk", "engines", "engines"} {
			role := controlv1.Role_ROLE_SERVICE
			if pool == "engines" {
				role = controlv1.Role_ROLE_DECODE
			}
			f.endpoints = append(f.endpoints, &controlv1.Endpoint{
				Name: fmt.Sprint("e", i), Address: fmt.Sprintf("10.0.0.%d:80", i+1), Serves: pool, Role: role, State: controlv1.EndpointState_ENDPOINT_STATE_READY,
			})
		}
		s := &accountEndpoints{}
		if in := strings.TrimSpace(d.Input); in != "" {
			s.script = strings.Split(in, "\n")
		}
		out := &recordingCaller{}
		next := accountDocument(t, 2, true)
		revoke := func() { f.document = next }
		if d.HasArg("revoked-when-sent") {
			s.revoke = revoke
		}
		quotas := &scriptedQuotas{caller: out, revoke: revoke}
		d.MaybeScanArgs(t, "quota", &quotas.decision)
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := New(f, s, s, s, "osu", RetryBudget{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, newDecisionLog(t, log), logrus.NewEntry(log))
		r.random = func() float64 { return 0 }
		r.SetQuotas(quotas)
		c := &Call{ID: "r", Method: http.MethodPost, Host: "h", Path: "/" + d.Cmd + "/1", Target: "/" + d.Cmd + "/1", Header: http.Header{}}
		if d.Cmd == "summaries" {
			c.Prompt = Prompt{Model: "m", Tokens: 3000, MaxOutput: 400}
		}
		key := ""
		if d.MaybeScanArgs(t, "key", &key); key != "" {
			c.KeyHash = document.Digest([]byte(key))
		}
		synctest.Test(t, func(t *testing.T) {
			c.Arrived = time.Now()
			r.Serve(t.Context(), c, out)
			time.Sleep(time.Minute)
		})
		return strings.Join(append(s.calls, out.out.String()), "\n")
	})
}
