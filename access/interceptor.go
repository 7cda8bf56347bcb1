package access

import (
	"context"

	"connectrpc.com/connect"
)

// authorizationHeader is the HTTP header that carries the key of a call.
const authorizationHeader = "Authorization"

// ServerInterceptor returns the interceptor for servers. It refuses calls
// without a key that permits them, and adds the name of the holder to the
// context.
func (t *Table) ServerInterceptor() connect.Interceptor {
	return &serverInterceptor{table: t}
}

type serverInterceptor struct {
	table *Table
}

// WrapUnary checks the key of a unary call.
func (s *serverInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		name, err := s.table.check(r.Spec().Procedure, r.Header().Get(authorizationHeader))
		if err != nil {
			return nil, err
		}
		return next(context.WithValue(ctx, nameKey{}, name), r)
	}
}

// WrapStreamingHandler checks the key of an incoming stream.
func (s *serverInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, c connect.StreamingHandlerConn) error {
		name, err := s.table.check(c.Spec().Procedure, c.RequestHeader().Get(authorizationHeader))
		if err != nil {
			return err
		}
		return next(context.WithValue(ctx, nameKey{}, name), c)
	}
}

// WrapStreamingClient does not change outgoing streams.
func (s *serverInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// KeySource provides the key that a process sends with its calls. The key may change
// over time; an empty key is not sent.
type KeySource interface {
	Key() string
}

// ClientInterceptor returns the interceptor for clients. It adds the key to
// each call.
func ClientInterceptor(s KeySource) connect.Interceptor {
	return &clientInterceptor{keys: s}
}

type clientInterceptor struct {
	keys KeySource
}

// WrapUnary adds the key to a unary call of a client.
func (c *clientInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
		if k := c.keys.Key(); k != "" && r.Spec().IsClient {
			r.Header().Set(authorizationHeader, bearerPrefix+k)
		}
		return next(ctx, r)
	}
}

// WrapStreamingClient adds the key to an outgoing stream.
func (c *clientInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, s connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, s)
		if k := c.keys.Key(); k != "" {
			conn.RequestHeader().Set(authorizationHeader, bearerPrefix+k)
		}
		return conn
	}
}

// WrapStreamingHandler does not change incoming streams.
func (c *clientInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
