// Command members simulates many processes of an environment against the control
// hosts: each has its own connection, renews its lease every second and watches
// for changes. It measures the cost of joining, of steady state, of document
// changes, of restarts and of listing, and prints a JSON line for each.
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

// options holds the values of the flags.
type options struct {
	controls []netip.AddrPort
	// leader is the control host that answered a list at the start. All members
	// call it.
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
	if o.leader, err = findLeader(o.controls); err != nil {
		log.Fatal(err)
	}
	if err := newRun(o).execute(context.Background(), json.NewEncoder(os.Stdout)); err != nil {
		log.Fatal(err)
	}
}
