// Package announce announces a simulated endpoint to its agent. The commands
// engine and service use it.
package announce

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/dghubble/sling"

	"ebonyreel/endpoints"
)

const callTimeout = time.Second

// Run posts the current announcement to the agent every
// endpoints.AnnouncementInterval until the context ends. Failed announcements
// are not reported; the next one follows.
func Run(ctx context.Context, agent netip.AddrPort, announcement func() endpoints.Announcement) {
	c := &http.Client{Timeout: callTimeout}
	base := sling.New().Client(c).Base("http://" + agent.String())
	t := time.NewTicker(endpoints.AnnouncementInterval)
	defer t.Stop()
	for {
		send(ctx, c, base, announcement())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// send posts one announcement and ignores errors, as the next one follows.
func send(ctx context.Context, c *http.Client, base *sling.Sling, a endpoints.Announcement) {
	r, err := base.New().Post("/Announce").BodyJSON(a).Request()
	if err != nil {
		return
	}
	res, err := c.Do(r.WithContext(ctx))
	if err != nil {
		return
	}
	_ = res.Body.Close()
}
