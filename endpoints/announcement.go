// Package endpoints receives the announcements by which an endpoint, a model engine
// or a plain service, makes itself known to the agent beside it. The calls in the
// other direction are in packages engines and services.
package endpoints

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"
)

const (
	// AnnouncementInterval is the time between two announcements of an endpoint.
	AnnouncementInterval = time.Second
	// AnnouncementTimeout is the time without an announcement after which an
	// endpoint counts as down.
	AnnouncementTimeout = 3 * time.Second
	// maxAnnouncementBytes bounds the size of an announcement.
	maxAnnouncementBytes = 64 << 10
)

// Roles of endpoints.
const (
	RolePrefill = "Prefill"
	RoleDecode  = "Decode"
	RoleService = "Service"
)

// Announcement is what an endpoint says about itself. It is sent as a JSON object
// with these fields.
type Announcement struct {
	// Address is where the endpoint accepts calls.
	Address netip.AddrPort
	// Instance differs with every start of the endpoint.
	Instance string
	// Role is RolePrefill, RoleDecode or RoleService.
	Role string
	// Serves is the name of the model or of the plain service.
	Serves string
	// Version and Adapters are the loaded version of the model and its adapters.
	Version  string
	Adapters []string
	// MemoryPieces is the size of a model engine's memory in pieces, and PieceTokens
	// the size of a piece in tokens.
	MemoryPieces int
	PieceTokens  int
	// ChecksFencing is true for an engine that refuses orders with an old fencing
	// token.
	ChecksFencing bool
	// Leaving is true once the endpoint has been told to stop.
	Leaving bool
}

// AnnouncementError reports an invalid field of an announcement.
type AnnouncementError struct {
	Field    string
	Value    string
	Expected string
}

// Error returns a message with the field, its value and what is expected.
func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("%s: found %q, expected %s", e.Field, e.Value, e.Expected)
}

func (a Announcement) validate() error {
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

// Handler returns an HTTP handler that passes valid announcements to a function. It
// answers with 204, or with 400 where an announcement is invalid.
func Handler(receive func(Announcement)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var a Announcement
		d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
		d.DisallowUnknownFields()
		if err := d.Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := a.validate(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		receive(a)
		w.WriteHeader(http.StatusNoContent)
	})
}
