// Package announce lets a stand-in endpoint make itself known to the agent
// beside it.
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

// Run announces an endpoint until the context ends.
func Run(ctx context.Context, agent netip.AddrPort, current func() endpoints.Announcement) {
	c := &http.Client{Timeout: callTimeout}
	base := sling.New().Client(c).Base("http://" + agent.String())
	t := time.NewTicker(endpoints.Interval)
	defer t.Stop()
	for {
		send(ctx, c, base, current())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// send makes one announcement. A failure is repaired by the next one.
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
