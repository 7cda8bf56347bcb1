// Package access authorizes calls: it identifies operators and processes by the
// bearer key of each call, and refuses calls without a key that permits them.
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

// bearerPrefix precedes the key in the Authorization header.
const bearerPrefix = "Bearer "

// Holder is one operator or process that may make calls.
type Holder struct {
	// Name identifies the holder. It is recorded with the actions of an operator.
	Name string
	// KeyHash is the SHA-256 of the holder's key, in hexadecimal.
	KeyHash string
}

// Table checks the keys of calls. Without holders it permits every call. It is
// safe for concurrent use.
type Table struct {
	processes []holder
	operators []holder
	// Refused counts the refused calls.
	Refused *expvar.Int
}

// holder is a Holder with the decoded hash of its key.
type holder struct {
	name string
	hash [sha256.Size]byte
}

// NewTable returns a table of holders. It leaves out holders whose hash is not a
// SHA-256 in hexadecimal; if no holder is left, the table permits every call.
func NewTable(processes, operators []Holder) *Table {
	return &Table{processes: decodeHashes(processes), operators: decodeHashes(operators), Refused: new(expvar.Int)}
}

// decodeHashes decodes the hashes of holders and leaves out invalid ones.
func decodeHashes(holders []Holder) []holder {
	var out []holder
	for _, h := range holders {
		b, err := hex.DecodeString(h.KeyHash)
		if err != nil || len(b) != sha256.Size {
			continue
		}
		out = append(out, holder{name: h.Name, hash: [sha256.Size]byte(b)})
	}
	return out
}

// RefusedError reports a call without a key that permits it.
type RefusedError struct {
	// Procedure is the RPC procedure that was called.
	Procedure string
	// Missing is true if the call had no key.
	Missing bool
}

// Error returns what is wrong with the key, and the procedure.
func (e *RefusedError) Error() string {
	if e.Missing {
		return "no key was shown for " + e.Procedure
	}
	return fmt.Sprintf("the key does not open %s", e.Procedure)
}

// check returns the name of the holder of the key in an Authorization header, if
// the holder may call a procedure. The name is empty in a table without holders.
// Other calls are counted as refused; the error is then a *connect.Error with a
// *RefusedError.
func (t *Table) check(procedure, authorization string) (string, error) {
	if len(t.processes)+len(t.operators) == 0 {
		return "", nil
	}
	key, hasPrefix := strings.CutPrefix(authorization, bearerPrefix)
	if !hasPrefix || key == "" {
		t.Refused.Add(1)
		return "", connect.NewError(connect.CodeUnauthenticated, &RefusedError{Procedure: procedure, Missing: true})
	}
	// Both lists are always searched to the end, so that the time taken reveals
	// nothing about the key.
	hash := sha256.Sum256([]byte(key))
	process, isProcess := findHolder(t.processes, hash)
	operator, isOperator := findHolder(t.operators, hash)
	switch p := permissionsOf(procedure); {
	case isOperator && p.operators:
		return operator, nil
	case isProcess && p.processes:
		return process, nil
	}
	t.Refused.Add(1)
	return "", connect.NewError(connect.CodePermissionDenied, &RefusedError{Procedure: procedure})
}

// findHolder returns the name of the holder of a key. Its time does not depend on
// the position of the match.
func findHolder(holders []holder, hash [sha256.Size]byte) (string, bool) {
	name, found := "", false
	for _, h := range holders {
		if subtle.ConstantTimeCompare(h.hash[:], hash[:]) == 1 {
			name, found = h.name, true
		}
	}
	return name, found
}

// permissions states who may call a procedure.
type permissions struct {
	operators bool
	processes bool
}

// permissionsOf returns who may call a procedure. Procedures that are not listed
// are for processes only.
func permissionsOf(procedure string) permissions {
	switch procedure {
	case controlv1connect.ControlServiceSubmitProcedure,
		controlv1connect.ControlServiceApproveProcedure,
		controlv1connect.ControlServicePromoteProcedure,
		entryv1connect.EntryServiceDrainProcedure,
		agentv1connect.AgentServiceDrainProcedure:
		return permissions{operators: true}
	case controlv1connect.ControlServiceHistoryProcedure,
		controlv1connect.ControlServiceListProcedure,
		controlv1connect.ControlServiceLeaveProcedure,
		entryv1connect.EntryServiceStatusProcedure,
		entryv1connect.EntryServiceExplainProcedure,
		agentv1connect.AgentServiceStatusProcedure,
		replicav1connect.ReplicaServiceStatusProcedure:
		return permissions{operators: true, processes: true}
	}
	return permissions{processes: true}
}

// nameKey is the context key of the name of a holder.
type nameKey struct{}

// HolderName returns the name of the holder that made a call, or claimed if
// keys are not checked.
func HolderName(ctx context.Context, claimed string) string {
	if n, ok := ctx.Value(nameKey{}).(string); ok && n != "" {
		return n
	}
	return claimed
}
