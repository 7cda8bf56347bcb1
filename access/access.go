// Package access tells operators and processes apart by the keys that they
// show with each call, and refuses calls without the right one.
package access

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"expvar"
	"fmt"
	"strings"

	"connectrpc.com/connect"

	"ebonyreel/proto/agent/v1/agentv1connect"
	"ebonyreel/proto/control/v1/controlv1connect"
	"ebonyreel/proto/entry/v1/entryv1connect"
	"ebonyreel/proto/replica/v1/replicav1connect"
)

// scheme precedes the key in the Authorization header.
const scheme = "Bearer "

// Holder is one operator or process whose calls are taken.
type Holder struct {
	// Name is recorded with what an operator does.
	Name string
	// KeyHash is the SHA-256 of the holder's key, in hexadecimal.
	KeyHash string
}

// Table checks the keys of calls. It is safe for concurrent use. Without any
// holder every call is taken.
type Table struct {
	processes []holder
	operators []holder
	// Refused counts calls without the right key.
	Refused *expvar.Int
}

// holder is a Holder with its hash decoded.
type holder struct {
	name string
	hash [sha256.Size]byte
}

// NewTable returns a table of holders. Hashes that are not SHA-256 in
// hexadecimal match no key.
func NewTable(processes, operators []Holder) *Table {
	return &Table{processes: decode(processes), operators: decode(operators), Refused: new(expvar.Int)}
}

func decode(all []Holder) []holder {
	var out []holder
	for _, a := range all {
		b, err := hex.DecodeString(a.KeyHash)
		if err != nil || len(b) != sha256.Size {
			continue
		}
		out = append(out, holder{name: a.Name, hash: [sha256.Size]byte(b)})
	}
	return out
}

// RefusedError reports a call without the right key.
type RefusedError struct {
	// Procedure is what was called.
	Procedure string
	// Missing is true when no key was shown.
	Missing bool
}

// Error says what is wrong with the key.
func (e *RefusedError) Error() string {
	if e.Missing {
		return "no key was shown for " + e.Procedure
	}
	return fmt.Sprintf("the key does not open %s", e.Procedure)
}

// check returns the name of the holder of a key that opens a procedure.
func (t *Table) check(procedure, header string) (string, error) {
	if len(t.processes)+len(t.operators) == 0 {
		return "", nil
	}
	key, shown := strings.CutPrefix(header, scheme)
	if !shown || key == "" {
		t.Refused.Add(1)
		return "", connect.NewError(connect.CodeUnauthenticated, &RefusedError{Procedure: procedure, Missing: true})
	}
	// Both lists are always looked through to their ends, so that the time
	// taken says nothing about the key.
	hash := sha256.Sum256([]byte(key))
	process, isProcess := find(t.processes, hash)
	operator, isOperator := find(t.operators, hash)
	switch u := usersOf(procedure); {
	case isOperator && u.operators:
		return operator, nil
	case isProcess && u.processes:
		return process, nil
	}
	t.Refused.Add(1)
	return "", connect.NewError(connect.CodePermissionDenied, &RefusedError{Procedure: procedure})
}

func find(all []holder, hash [sha256.Size]byte) (string, bool) {
	name, found := "", false
	for _, h := range all {
		if subtle.ConstantTimeCompare(h.hash[:], hash[:]) == 1 {
			name, found = h.name, true
		}
	}
	return name, found
}

// users says who may call a procedure.
type users struct {
	operators bool
	processes bool
}

// usersOf returns who may call a procedure. What is not listed is for
// processes.
func usersOf(procedure string) users {
	switch procedure {
	case controlv1connect.ControlServiceSubmitProcedure,
		controlv1connect.ControlServiceApproveProcedure,
		controlv1connect.ControlServicePromoteProcedure,
		entryv1connect.EntryServiceDrainProcedure,
		agentv1connect.AgentServiceDrainProcedure:
		return users{operators: true}
	case controlv1connect.ControlServiceHistoryProcedure,
		controlv1connect.ControlServiceListProcedure,
		controlv1connect.ControlServiceLeaveProcedure,
		entryv1connect.EntryServiceStatusProcedure,
		entryv1connect.EntryServiceExplainProcedure,
		agentv1connect.AgentServiceStatusProcedure,
		replicav1connect.ReplicaServiceStatusProcedure:
		return users{operators: true, processes: true}
	}
	return users{processes: true}
}

type nameKey struct{}

// Name returns the name of the holder whose key came with a call, or claimed
// where keys are not checked.
func Name(ctx context.Context, claimed string) string {
	if n, ok := ctx.Value(nameKey{}).(string); ok && n != "" {
		return n
	}
	return claimed
}
