// Command weightstore simulates the weight store: it serves files of zero bytes
// at a limited rate that all readers share.
package main

import (
	"context"
	"flag"
	"log"
	"net/http"
	"net/netip"
	"strconv"

	"golang.org/x/time/rate"

	"ebonyreel/transport"
)

// chunkBytes is the size of a write, and the burst of the rate limiter.
const chunkBytes = 64 << 10

func main() {
	address := flag.String("address", "127.0.0.1:7900", "address to serve on")
	bytesPerSecond := flag.Int("bytes-per-second", 10_000_000, "rate that all readers share")
	size := flag.Int("size", 1_000_000, "bytes of each file")
	flag.Parse()
	a, err := netip.ParseAddrPort(*address)
	if err != nil {
		log.Fatal(err)
	}
	s := &store{size: *size, limiter: rate.NewLimiter(rate.Limit(*bytesPerSecond), chunkBytes)}
	if err := transport.Serve(context.Background(), transport.NewServer(s), a); err != nil {
		log.Fatal(err)
	}
}

// store serves files that all have the same size.
type store struct {
	// size is in bytes.
	size    int
	limiter *rate.Limiter
}

// ServeHTTP sends a file at the shared rate, whatever the path.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(s.size))
	chunk := make([]byte, chunkBytes)
	for remaining := s.size; remaining > 0; {
		n := min(remaining, chunkBytes)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		remaining -= n
	}
}
