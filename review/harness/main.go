// Command harness plays the scripts of the second review. It starts the programs of the
// deploy file on loopback addresses, with stand-ins for workers, clients and the operator.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// The exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// scenarios play a case, with its disruption or without, and return the exit code.
var scenarios = map[string]func(ctx context.Context, root string, r *record, trouble bool) int{}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO ROOT RECORD")
		os.Exit(couldNot)
	}
	f, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	r := &record{file: f, start: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), 110*time.Second)
	code := scenarios[os.Args[1]](ctx, os.Args[2], r, os.Getenv("TROUBLE") != "0")
	cancel()
	r.printf("exit %d", code)
	fmt.Println("exit", code)
	os.Exit(code)
}
