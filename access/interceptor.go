package access

import (
	"context"

	"connectrpc.com/connect"
)

// header carries the key of a call.
const header = "Authorization"

// Interceptor returns the side of a server: it refuses calls without the right
// key and passes the holder's name on with the context.
func (t *Table) Interceptor() connect.Interceptor {
	return &server{table: t}
}

type server struct {
	table *Table
}

// WrapUnary checks the key of a unary call.
func (s *server) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		name, err := s.table.check(r.Spec().Procedure, r.Header().Get(header))
		if err != nil {
			return nil, err
		}
		return next(context.WithValue(ctx, nameKey{}, name), r)
	}
}

// WrapStreamingHandler checks the key of a stream.
func (s *server) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		name, err := s.table.check(c.Spec().Procedure, c.RequestHeader().Get(header))
		if err != nil {
			return err
		}
		return next(context.WithValue(ctx, nameKey{}, name), c)
	}
}

// WrapStreamingClient leaves outgoing streams as they are.
func (s *server) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// Shower returns the key that a process shows; it may change over time.
type Shower interface {
	Key() string
}

// Show returns the side of a client: it adds the key to each call.
func Show(s Shower) connect.Interceptor {
	return &client{shower: s}
}

type client struct {
	shower Shower
}

// WrapUnary adds the key to a unary call.
func (c *client) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if k := c.shower.Key(); k != "" && r.Spec().IsClient {
			r.Header().Set(header, scheme+k)
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient adds the key to a stream.
func (c *client) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, s connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, s)
		if k := c.shower.Key(); k != "" {
			conn.RequestHeader().Set(header, scheme+k)
		}
		return conn
	}
}

// WrapStreamingHandler leaves incoming streams as they are.
func (c *client) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
