package agents

import (
	"net/http"
	"sync"
	"time"
)

// minRedialInterval is the least age of a client before redial replaces it.
const minRedialInterval = time.Second

// connection is an HTTP client for one agent. The client can be replaced, so
// that a retry does not use a connection that no longer answers.
type connection struct {
	// newClient returns a client without open connections.
	newClient func() *http.Client

	mu     sync.Mutex
	client *http.Client
	// clientSince is when client was created.
	clientSince time.Time
}

func newConnection(newClient func() *http.Client) *connection {
	return &connection{newClient: newClient, client: newClient(), clientSince: time.Now()}
}

// Do sends a request with the current client.
func (c *connection) Do(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	httpClient := c.client
	c.mu.Unlock()
	return httpClient.Do(r)
}

// redial replaces the client, so that later calls dial new connections. Calls in
// flight keep theirs. It does nothing within minRedialInterval of the last
// replacement.
func (c *connection) redial() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.clientSince) < minRedialInterval {
		return
	}
	c.client.CloseIdleConnections()
	c.client, c.clientSince = c.newClient(), time.Now()
}

// close closes the idle connections.
func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.client.CloseIdleConnections()
}
