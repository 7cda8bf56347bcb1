package proof

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"testing"
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

// portPool assigns ports to the processes of this run.
var portPool struct {
	sync.Mutex
	// next is the next port to assign from the block in use, and end the first
	// port after the block.
	next, end int
	// reserved holds the listeners that reserve the blocks of this run.
	reserved []net.Listener
}

// freeAddress returns a loopback address that no process listens on.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	portPool.Lock()
	defer portPool.Unlock()
	for {
		if portPool.next == portPool.end {
			reserveBlock()
			continue
		}
		a := loopback(portPool.next)
		portPool.next++
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
			portPool.reserved = append(portPool.reserved, l)
			portPool.next, portPool.end = first+1, first+blockPorts
			return
		}
	}
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

// TestFree checks that an address found free can be listened on at once, even
// while processes are being started.
func TestFree(t *testing.T) {
	stop := make(chan struct{})
	var starting sync.WaitGroup
	for range 4 {
		starting.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("true").Run()
				}
			}
		})
	}
	for range 300 {
		a := freeAddress(t)
		if !isFree(a) {
			t.Errorf("%s is in use", a)
			break
		}
	}
	close(stop)
	starting.Wait()
}
