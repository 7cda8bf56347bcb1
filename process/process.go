// Package process holds what all programs of the system share: signals,
// metrics, reloading of settings, memory limits, security and shutdown.
package process

import (
	"context"
	"encoding/json"
	"expvar"
	"io"
	"net/http"
	"net/netip"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"ebonyreel/transport"
)

// shutdownTimeout limits how long Shutdown waits for connections to close after
// a drain. It is longer than any peer may take to read the end of an answer.
const shutdownTimeout = time.Minute

// metricsRoute is the route at which metrics are served.
const metricsRoute = "GET /debug/vars"

// SignalContext returns a context that is cancelled by the first SIGTERM or SIGINT,
// and a function that cancels it.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// AddMetricsRoute publishes a variable as a metric and adds the route for
// metrics to a mux.
func AddMetricsRoute(m *http.ServeMux, name string, v expvar.Var) {
	PublishMetric(name, v)
	m.Handle(metricsRoute, expvar.Handler())
}

// ServeMetrics serves only metrics on an address until the process ends. It
// does nothing when the address is not set.
func ServeMetrics(ctx context.Context, address netip.AddrPort, log *logrus.Entry) {
	if !address.IsValid() {
		return
	}
	m := http.NewServeMux()
	m.Handle(metricsRoute, expvar.Handler())
	if err := transport.Serve(ctx, transport.NewServer(m), address); err != nil {
		log.WithError(err).Error("serving metrics failed")
	}
}

// PublishMetric adds a variable to the metrics at /debug/vars.
func PublishMetric(name string, v expvar.Var) {
	expvar.Publish(name, v)
}

// Shutdown closes servers once their requests have ended. After
// shutdownTimeout it closes the connections that are still open.
func Shutdown(log *logrus.Entry, servers ...*http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			log.WithError(err).Warn("connections were still open")
			_ = s.Close()
		}
	}
}

// WriteJSON writes a value as JSON, indented by two spaces.
func WriteJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
