// Package faulty is a server for tests whose answers break off or never end.
package faulty

import (
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
)

// repeatBytes is the size of one write of an answer that never ends.
const repeatBytes = 64 << 10

// Answer is an answer that is not whole.
type Answer struct {
	Name string
	// Write writes the answer, and returns when it breaks off or the caller closes.
	Write func(c net.Conn)
}

// Answers returns answers of which the start is that of a JSON object, with a
// success. Each can be told from a whole one by its framing.
func Answers() []Answer {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	write := func(text string) func(net.Conn) {
		return func(c net.Conn) { _, _ = c.Write([]byte(text)) }
	}
	return []Answer{
		{"head breaks off", write(head)},
		{"body breaks off", write(head + "Content-Length: 100\r\n\r\n{\"Handle\":\"a")},
		{"chunk breaks off", write(head + "Transfer-Encoding: chunked\r\n\r\n20\r\n{\"Handle\":")},
		{"last chunk is missing", write(head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n")},
		{"head never ends", func(c net.Conn) {
			write(head)(c)
			repeat(c, "X-More: more\r\n")
		}},
		{"body never ends", func(c net.Conn) {
			write(head + "\r\n{\"Handle\":\"")(c)
			repeat(c, "a")
		}},
		{"no answer without end", func(c net.Conn) { repeat(c, "a") }},
	}
}

// repeat writes a text until the connection breaks.
func repeat(c net.Conn, text string) {
	b := []byte(strings.Repeat(text, repeatBytes/len(text)))
	for {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// Listen serves until the test ends. Each connection is answered by answer once the
// head of its request was read, and closed after that.
func Listen(t testing.TB, answer func(c net.Conn)) netip.AddrPort {
	t.Helper()
	return ListenRequests(t, func(c net.Conn, _ *http.Request) { answer(c) })
}
