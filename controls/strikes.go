package controls

import (
	"context"

	controlv1 "ebonyreel/proto/control/v1"
)

// Strikes counts crashes against contents at control, and reads the counts from
// a view.
type Strikes struct {
	*View
	client *Client
}

// NewStrikes returns the strikes of a view's environment.
func NewStrikes(c *Client, v *View) Strikes {
	return Strikes{View: v, client: c}
}

// AddStrike counts one crash against the content with a digest.
func (s Strikes) AddStrike(ctx context.Context, digest string) error {
	_, err := s.client.AddStrikes(ctx, &controlv1.AddStrikesRequest{Environment: s.environment, ContentDigests: []string{digest}})
	return err
}

// PartStrikes returns the strikes against a part of prompts, or nil.
func (s Strikes) PartStrikes(digest string) *controlv1.Strikes {
	return s.StrikesAgainst(digest)
}

// ChangePartStrikes changes the strikes of parts of prompts at control, and returns
// those that remain.
func (s Strikes) ChangePartStrikes(ctx context.Context, r *controlv1.AddStrikesRequest) ([]*controlv1.Strikes, error) {
	r.Environment = s.environment
	return s.client.AddStrikes(ctx, r)
}
