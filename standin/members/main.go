// Command members stands for many processes of an environment towards control:
// each has a connection, renews its lease each second and watches. It measures
// what joining, standing by, changes and a new list cost, and prints a JSON
// line for each.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"log"
	"net/netip"
	"os"
	"strings"
	"time"
)

// options are the flags.
type options struct {
	controls []netip.AddrPort
	// leader is the control host that answers, found at the start.
	leader      netip.AddrPort
	environment string
	members     int
	callers     int
	steady      time.Duration
	changes     int
	restarts    int
	processes   []process
}

func main() {
	o := &options{}
	controls := flag.String("controls", "127.0.0.1:7100", "addresses of the control hosts, with commas between")
	processes := flag.String("processes", "", "name=id of the processes to look at, with commas between")
	flag.StringVar(&o.environment, "environment", "capacity", "environment to join")
	flag.IntVar(&o.members, "members", 50, "number of processes to stand for")
	flag.IntVar(&o.callers, "callers", 260, "number of callers in the documents")
	flag.DurationVar(&o.steady, "steady", 5*time.Second, "time to stand by")
	flag.IntVar(&o.changes, "changes", 3, "number of documents to submit")
	flag.IntVar(&o.restarts, "restarts", 10, "number of processes to start again")
	flag.Parse()
	for _, a := range strings.Split(*controls, ",") {
		o.controls = append(o.controls, netip.MustParseAddrPort(a))
	}
	var err error
	if o.processes, err = parseProcesses(*processes); err != nil {
		log.Fatal(err)
	}
	if o.leader, err = leader(o.controls); err != nil {
		log.Fatal(err)
	}
	if err := newRun(o).play(context.Background(), json.NewEncoder(os.Stdout)); err != nil {
		log.Fatal(err)
	}
}
