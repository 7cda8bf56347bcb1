package proof

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"ebonyreel/controls"
	controlv1 "ebonyreel/proto/control/v1"
)

const (
	megabyte = 1 << 20
	// refusalTarget is the time within which a bad document must be refused.
	refusalTarget = 2 * time.Second
)

// TestControlBadInput sends bad documents and a reused key. Each must be refused
// promptly with the reason, and the state must not change.
func TestControlBadInput(t *testing.T) {
	c := newCluster(t, "archive-trial")
	c.startControl("control-0")
	submitVariant(t, c, 1)
	client := c.controlClient()
	if err := beginOperation(client, "key"); err != nil {
		t.Fatal(err)
	}
	before := stateSummary(t, client)
	good := documentVariant(t, 2, 1)
	for _, b := range []struct {
		name string
		// document is submitted; reason must be part of the refusal.
		document []byte
		reason   string
	}{
		{"10 MB", append(bytes.Repeat([]byte(" "), 10*megabyte), good...), "at most 8388608 bytes"},
		{"10 MB text", bytes.Replace(good, []byte(`"summariser"`), []byte(`"`+strings.Repeat("s", 10*megabyte)+`"`), 1), "at most 8388608 bytes"},
		{"deep nesting", []byte(strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)), "JSON"},
		{"deep objects", []byte(strings.Repeat(`{"Models":`, 100_000) + "1" + strings.Repeat("}", 100_000)), "JSON"},
		{"wrong types", bytes.Replace(good, []byte(`"Number":2`), []byte(`"Number":"two"`), 1), "Number"},
		{"empty", nil, "JSON"},
		{"unknown field", bytes.Replace(good, []byte(`"Number":2`), []byte(`"Number":2,"Numbr":3`), 1), "Numbr"},
		{"number below", documentVariant(t, 1, 7), "Number 1"},
	} {
		from := time.Now()
		_, err := client.Submit(context.Background(), &controlv1.SubmitRequest{Environment: "archive-trial", Document: b.document, Submitter: "proof"})
		if r := controls.RefusalFrom(err); r == nil || !strings.Contains(r.GetReason(), b.reason) {
			t.Errorf("%s: found %.300v, expected a refusal with the reason %q", b.name, err, b.reason)
		}
		if d := time.Since(from); d > refusalTarget {
			t.Errorf("%s: refused only after %s", b.name, d)
		}
	}
	_, err := client.BeginOperation(context.Background(), &controlv1.Operation{
		Environment: "archive-trial", Caller: "reading-room", Key: "key", BodyDigest: "another", Dispatch: "another",
	})
	if controls.RefusalFrom(err).GetCode() != controlv1.Refusal_CODE_CONFLICT {
		t.Errorf("a reused key with another body: found %v, expected a conflict", err)
	}
	if after := stateSummary(t, client); after != before {
		t.Errorf("revision and number of items changed from %s to %s", before, after)
	}
}

// stateSummary returns the revision and the number of items of the state.
func stateSummary(t *testing.T, client *controls.Client) string {
	t.Helper()
	res, err := client.List(context.Background(), &controlv1.ListRequest{})
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint(res.GetRevision(), len(res.GetItems()))
}
