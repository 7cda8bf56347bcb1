// Package endpoints is the agent's side towards whatever stands beside it: the
// announcement by which a model engine or a plain service makes itself known.
package endpoints

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

const (
	// Interval is the time between two announcements of an endpoint.
	Interval = time.Second
	// Silence is how long an endpoint may say nothing before it counts as
	// down.
	Silence = 3 * time.Second
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 64 << 10
)

// Roles of endpoints.
const (
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
	RoleService = "Service"
)

// Announcement is what an endpoint says about itself.
type Announcement struct {
	// Address is where the endpoint takes calls.
	Address netip.AddrPort
	// Instance differs with every start of the endpoint.
	Instance string
	// Role is one of the roles above.
	Role string
	// Serves is the name of the model or of the plain service.
	Serves string
	// Version and Adapters are those that are loaded.
	Version  string
	Adapters []string
	// MemoryPieces and PieceTokens are the size of a model engine's memory.
	MemoryPieces int
	PieceTokens  int
	// ChecksFencing is true for an engine that refuses old fencing numbers.
	ChecksFencing bool
	// Leaving is true once the endpoint has been told to stop.
	Leaving bool
}

// AnnouncementError reports a field of an announcement that is wrong.
type AnnouncementError struct {
	Field    string
	Value    string
	Expected string
}

// Error names the field.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("%s: found %q, expected %s", e.Field, e.Value, e.Expected)
}

func (a Announcement) check() error {
	if !a.Address.IsValid() {
		return &AnnouncementError{Field: "Address", Value: a.Address.String(), Expected: "an IP number and port"}
	}
	if a.Serves == "" {
		return &AnnouncementError{Field: "Serves", Expected: "the name of a model or service"}
	}
	switch a.Role {
	case RolePrefill, RoleDecode, RoleService:
		return nil
	}
	return &AnnouncementError{Field: "Role", Value: a.Role, Expected: "Prefill, Decode or Service"}
}

// Handler takes announcements and passes those that are right to a function.
func Handler(take func(Announcement)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := a.check(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		take(a)
		w.WriteHeader(http.StatusNoContent)
	})
}
