package agents

import (
	"net/http"
	"sync"
	"time"
)

// redialInterval is the shortest time between two new connections that
// replace suspect ones.
const redialInterval = time.Second

// connection is the HTTP client of one agent. It can be replaced, so that a
// retry never goes over a connection that may be silent.
type connection struct {
	// fresh returns a client without connections.
	fresh func() *http.Client

	mu     sync.Mutex
	client *http.Client
	// made is when client was made.
	made time.Time
}

func newConnection(fresh func() *http.Client) *connection {
	return &connection{fresh: fresh, client: fresh(), made: time.Now()}
}

// Do sends a request over the current connection.
func (c *connection) Do(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	h := c.client
	c.mu.Unlock()
	return h.Do(r)
}

// redial makes later calls dial anew. Calls under way end by themselves.
func (c *connection) redial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.made) < redialInterval {
		return
	}
	c.client.CloseIdleConnections()
	c.client, c.made = c.fresh(), time.Now()
}

// close drops the connection once it is idle.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client.CloseIdleConnections()
}
