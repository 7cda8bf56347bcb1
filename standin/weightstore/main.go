// Command weightstore is a stand-in for the weight store: it serves weights at
// a limited rate that all readers share.
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

// chunkBytes is what is sent at once.
const chunkBytes = 64 << 10

func main() {
	address := flag.String("address", "127.0.0.1:7900", "address to serve on")
	perSecond := flag.Int("bytes-per-second", 10_000_000, "rate that all readers share")
	size := flag.Int("size", 1_000_000, "bytes of each file")
	flag.Parse()
	a, err := netip.ParseAddrPort(*address)
	if err != nil {
		log.Fatal(err)
	}
	s := &store{size: *size, limiter: rate.NewLimiter(rate.Limit(*perSecond), chunkBytes)}
	if err := transport.Serve(context.Background(), transport.NewServer(s), a); err != nil {
		log.Fatal(err)
	}
}

// store serves files of one size.
type store struct {
	size    int
	limiter *rate.Limiter
}

// ServeHTTP sends one file at the shared rate.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", strconv.Itoa(s.size))
	chunk := make([]byte, chunkBytes)
	for left := s.size; left > 0; {
		n := min(left, chunkBytes)
		if s.limiter.WaitN(r.Context(), n) != nil {
			return
		}
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		left -= n
	}
}
