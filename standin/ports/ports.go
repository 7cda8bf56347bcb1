// Package ports gives tests the loopback addresses on which their processes listen.
package ports

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
)

// The processes use ports below the system's ephemeral range: an outgoing
// connection could otherwise occupy a port before its process listens. Ports
// come in blocks. A listener holds the first port of a block, so that no other
// test run uses the block.
const (
	lowestPort  = 20_000
	highestPort = 32_000
	blockPorts  = 200
)

// pool assigns ports to the processes of this run.
var pool struct {
	sync.Mutex
	// next is the next port to assign from the block in use, and end the first
	// port after the block.
	next, end int
	// reserved holds the listeners that reserve the blocks of this run.
	reserved []net.Listener
}

// Free returns a loopback address that no process listens on, and that it has not
// returned before.
func Free() netip.AddrPort {
	pool.Lock()
	defer pool.Unlock()
	for {
		if pool.next == pool.end {
			reserveBlock()
			continue
		}
		a := loopback(pool.next)
		pool.next++
		if isFree(a) {
			return a
		}
	}
}

// isFree reports whether no process listens on an address. It holds back starts
// of processes while it probes: a child forked meanwhile would inherit the
// listener and hold it until its exec, and the process that gets the address
// would find it in use.
func isFree(a netip.AddrPort) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// reserveBlock reserves a random block that no other run holds.
func reserveBlock() {
	for {
		first := lowestPort + blockPorts*rand.IntN((highestPort-lowestPort)/blockPorts)
		if l, err := net.Listen("tcp", loopback(first).String()); err == nil {
			pool.reserved = append(pool.reserved, l)
			pool.next, pool.end = first+1, first+blockPorts
			return
		}
	}
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}
