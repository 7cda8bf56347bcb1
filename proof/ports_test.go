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

// Ports of the processes are below those that the system gives to outgoing
// connections, one of which might take a port before its process listens. They
// come in blocks; the first port of a block is held by a listener, so that no
// other run of tests uses the block.
const (
	lowestPort  = 20_000
	highestPort = 32_000
	blockPorts  = 200
)

// ports gives ports to the processes of this run.
var portPool struct {
	sync.Mutex
	// next and end are within the block in use.
	next, end int
	// held keeps the blocks of this run.
	reserved []net.Listener
}

// freeAddress returns a loopback address that nobody listens on.
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

// free reports whether nobody listens on an address. No process is started
// meanwhile: it would hold the listener until its program begins, and another one
// would find the address in use.
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

// takeBlock takes a block that no other run has.
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

// TestFree shows that an address that was found free can be listened on at once,
// also while processes are being started.
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
