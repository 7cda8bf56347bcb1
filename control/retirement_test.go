package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/datadriven"
	"github.com/sirupsen/logrus"

	replicav1 "ebonyreel/proto/replica/v1"
	"ebonyreel/proto/replica/v1/replicav1connect"
	"ebonyreel/replica"
	"ebonyreel/settings"
	"ebonyreel/transport"
)

const scriptTargetVoters = 3

// TestRetirement runs scripted control hosts. It guards against learners that stay in the
// configuration, and are sent the whole log again and again, once their hosts are gone.
func TestRetirement(t *testing.T) {
	datadriven.Walk(t, filepath.Join("testdata", "retirement"), func(t *testing.T, path string) {
		c := &scriptCluster{t: t, now: time.Unix(1000, 0), hosts: map[string]*scriptHost{}}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			c.began = c.now
			c.out.Reset()
			for _, line := range strings.Split(d.Input, "\n") {
				c.run(strings.Fields(line))
			}
			return c.out.String()
		})
	})
}

// scriptCluster is a group of control hosts without disks, on a clock and a network of
// their own.
type scriptCluster struct {
	t *testing.T
	// began is when the current block of the script began.
	began, now time.Time
	hosts      map[string]*scriptHost
	network    []scriptMessage
	identities int
	// leader and servers are the newest that were printed to out.
	leader, servers string
	out             strings.Builder
}

// scriptHost is one control host. A lost host neither sends nor receives; a deaf one
// receives no messages.
type scriptHost struct {
	loop       *loop
	lost, deaf bool
	// snapshotDelay is how long a snapshot takes to the host.
	snapshotDelay time.Duration
	nextJoin      time.Time
}

type scriptMessage struct {
	sender   *peers
	message  *replicav1.Message
	arrives  time.Time
	receiver *scriptHost
}

func (c *scriptCluster) run(words []string) {
	if words[0] == "elapse" {
		for end := c.now.Add(c.duration(words[1])); c.now.Before(end); {
			c.now = c.now.Add(tickInterval)
			c.tick()
		}
		return
	}
	for _, name := range words[1:] {
		h := c.hosts[name]
		switch words[0] {
		case "boot":
			c.start(name)
			bootstrapRequest{}.handle(c.hosts[name].loop, c.now)
		case "start":
			c.start(name)
		case "start-behind-slow-path":
			c.start(name)
			c.hosts[name].snapshotDelay = 8 * time.Second
		case "lose":
			h.lost = true
		case "return":
			h.lost = false
		case "deafen":
			h.deaf = true
		case "known":
			fmt.Fprintf(&c.out, "%s knows %s\n", name, strings.Join(knownHosts(h.loop.peers), " "))
		case "compact":
			st := h.loop.node.Status(c.now)
			h.loop.node.Compact(&replicav1.Snapshot{Index: st.Commit, Term: h.loop.node.Term(st.Commit), Configuration: st.Configuration}, replica.Retention{})
		default:
			c.t.Fatalf("unknown command %s", words[0])
		}
	}
}

func (c *scriptCluster) duration(word string) time.Duration {
	d, err := time.ParseDuration(word)
	if err != nil {
		c.t.Fatal(err)
	}
	return d
}

// start starts a host with an empty disk, and replaces one of the same name.
func (c *scriptCluster) start(name string) {
	c.identities++
	id, wait := fmt.Sprintf("%s%d", name, c.identities), time.Duration(c.identities)*heartbeatInterval
	log := logrus.New()
	log.SetOutput(io.Discard)
	address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(c.identities))
	p := newPeers(id, settings.Control{Name: name, Peers: address}, transport.NewClient())
	l := &loop{store: &Store{id: id, targetVoters: scriptTargetVoters, peers: p}, peers: p, log: logrus.NewEntry(log)}
	l.node = replica.New(replica.Options{
		ID: id, ElectionTimeout: electionTimeout, HeartbeatInterval: heartbeatInterval, AppendBytes: maxAppendBytes,
		Random: func(limit time.Duration) time.Duration { return wait % limit },
	}, replica.Stored{}, c.now)
	c.hosts[name] = &scriptHost{loop: l}
}

func (c *scriptCluster) tick() {
	for _, name := range c.names() {
		h := c.hosts[name]
		if h.lost {
			continue
		}
		h.loop.node.Tick(c.now)
		h.loop.lastStatus = h.loop.node.Status(c.now)
		h.loop.retireServer(c.now)
		h.loop.peers.update(c.now, h.loop.lastStatus.Configuration)
		c.requestJoin(h)
		c.process(h)
	}
	for range 4 {
		c.deliver()
	}
	c.print()
}

func (c *scriptCluster) names() []string {
	var out []string
	for name := range c.hosts {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// knownHosts returns the names of the hosts that a host has addresses of.
func knownHosts(p *peers) []string {
	var out []string
	for name := range p.hosts {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// requestJoin lets a host that is no voter, or has lost contact, ask the leader to join.
// It has to know a host that is not lost, or to be empty: then it has the seeds.
func (c *scriptCluster) requestJoin(h *scriptHost) {
	st, leader := h.loop.lastStatus, c.hosts[c.leader]
	if leader == nil || leader.lost || c.now.Before(h.nextJoin) || h.loop.store.isVoter(st.Configuration) && st.HasContact {
		return
	}
	h.nextJoin = c.now.Add(joinInterval)
	known := knownHosts(h.loop.peers)
	if !h.loop.empty(c.now) && !slices.ContainsFunc(known, func(name string) bool { return !c.hosts[name].lost }) {
		return
	}
	self := h.loop.peers.self
	r := &replicav1.JoinRequest{Id: h.loop.store.id, Name: self.Name, Address: self.Address.String()}
	reply := make(chan joinResult, 1)
	(&joinRequest{request: r, reply: reply}).handle(leader.loop, c.now)
	if err := (<-reply).err; err != nil {
		c.t.Errorf("%s is to ask other hosts although it found the leader: %v", self.Name, err)
	}
	c.process(leader)
}

// process carries out the effects of a host's node, and sends its messages.
func (c *scriptCluster) process(h *scriptHost) {
	for r := h.loop.node.Ready(); !r.Empty(); r = h.loop.node.Ready() {
		h.loop.node.Saved()
		for _, m := range slices.Concat(r.BeforeSync, r.Replication, r.AfterSync) {
			for _, o := range c.hosts {
				if o.loop.store.id != m.GetTo() {
					continue
				}
				arrives := c.now
				if m.GetKind() == replicav1.Message_KIND_SNAPSHOT {
					arrives = arrives.Add(o.snapshotDelay)
				}
				c.network = append(c.network, scriptMessage{sender: h.loop.peers, message: m, arrives: arrives, receiver: o})
			}
		}
	}
	h.loop.lastStatus = h.loop.node.Status(c.now)
}

// deliver delivers the messages that have arrived.
func (c *scriptCluster) deliver() {
	messages := c.network
	c.network = nil
	for _, m := range messages {
		if m.arrives.After(c.now) {
			c.network = append(c.network, m)
			continue
		}
		sender := c.hosts[m.sender.self.Name]
		if sender.lost || m.receiver.lost || m.receiver.deaf {
			continue
		}
		d := &delivery{request: &replicav1.DeliverRequest{
			Id: m.sender.id, Name: m.sender.self.Name, Address: m.sender.self.Address.String(), Messages: []*replicav1.Message{m.message},
		}}
		d.handle(m.receiver.loop, c.now)
		c.process(m.receiver)
	}
}

// print prints the leader and the configuration when they have changed; learners are in
// parentheses.
func (c *scriptCluster) print() {
	var newest replica.Status
	leader := ""
	for name, h := range c.hosts {
		if st := h.loop.lastStatus; !h.lost && st.Role == replica.Leader && st.Term > newest.Term {
			leader, newest = name, st
		}
	}
	var servers []string
	for _, s := range newest.Configuration.GetServers() {
		if s.GetLearner() {
			servers = append(servers, "("+s.GetName()+")")
		} else {
			servers = append(servers, s.GetName())
		}
	}
	if s := strings.Join(servers, " "); leader != "" && (leader != c.leader || s != c.servers) {
		c.servers = s
		fmt.Fprintf(&c.out, "%s %s: %s\n", c.now.Sub(c.began), leader, s)
	}
	c.leader = leader
}

// TestJoinAtFollower guards against a learner that does not take the place of a lost voter
// in time: a follower told it that there are enough voters, and it did not ask the leader.
func TestJoinAtFollower(t *testing.T) {
	c := &scriptCluster{t: t, now: time.Unix(1000, 0), hosts: map[string]*scriptHost{}}
	for _, line := range []string{"boot a", "elapse 1s", "start b c d", "elapse 3s", "lose c", "elapse 1s"} {
		c.run(strings.Fields(line))
	}
	for _, name := range []string{"a", "d"} {
		reply := make(chan joinResult, 1)
		r := &joinRequest{request: &replicav1.JoinRequest{Id: c.hosts[name].loop.store.id, Name: name}, reply: reply}
		r.handle(c.hosts["b"].loop, c.now)
		var notLeader *NotLeaderError
		if err := (<-reply).err; !errors.As(err, &notLeader) || notLeader.Address != c.hosts["a"].loop.peers.self.Address {
			t.Errorf("%s asked a follower to join: got error %v, want a *NotLeaderError with the address of the leader", name, err)
		}
	}
}

// deafClient is a client of a host that does not answer. It counts the calls.
type deafClient struct {
	replicav1connect.ReplicaServiceClient
	calls int
}

func (c *deafClient) Deliver(ctx context.Context, _ *connect.Request[replicav1.DeliverRequest]) (*connect.Response[replicav1.DeliverResponse], error) {
	if ctx.Err() == nil {
		c.calls++
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

func (c *deafClient) DeliverPart(ctx context.Context, _ *connect.Request[replicav1.DeliverPartRequest]) (*connect.Response[replicav1.DeliverPartResponse], error) {
	_, err := c.Deliver(ctx, nil)
	return nil, err
}

// TestLostHostDropped guards against messages that wait for a host that is gone and no
// longer in the configuration, and are sent to it.
func TestLostHostDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		p := newPeers("a1", settings.Control{Name: "a", Peers: netip.MustParseAddrPort("127.0.0.1:1")}, transport.NewClient())
		p.learnServer("b1", "b", "127.0.0.1:2")
		client := &deafClient{}
		p.hosts["b"].bulk = newLane(client)
		p.start(ctx)
		for range 1000 {
			p.hosts["b"].bulk.enqueue(&replicav1.Message{Entries: []*replicav1.Entry{{Kind: &replicav1.Entry_Command{Command: make([]byte, 16<<10)}}}})
		}
		only := &replicav1.Configuration{Servers: []*replicav1.Server{{Id: "a1", Name: "a"}}}
		both := &replicav1.Configuration{Servers: append(only.Servers, &replicav1.Server{Id: "b1", Name: "b", Address: "127.0.0.1:2"})}
		p.update(time.Now(), both)
		p.recordCall("b", time.Now())
		time.Sleep(learnerTimeout - time.Millisecond)
		p.update(time.Now(), only)
		if p.queuedBytes() == 0 || p.hostOfServer("b1") == nil {
			t.Error("a host that has just called was dropped")
		}
		time.Sleep(time.Millisecond)
		p.update(time.Now(), only)
		if b, a := p.queuedBytes(), p.otherAddresses(); b != 0 || len(a) != 0 || p.hostName("b1") != "" {
			t.Errorf("%d bytes wait for a lost host, and its addresses are %v", b, a)
		}
		synctest.Wait()
		before := client.calls
		time.Sleep(10 * deliverTimeout)
		synctest.Wait()
		if client.calls != before {
			t.Errorf("%d more calls to a lost host", client.calls-before)
		}
		p.update(time.Now(), both)
		if len(p.otherAddresses()) != 1 {
			t.Error("the host is not known after it joined again")
		}
	})
}
