// Command load is an open-loop load generator: it sends calls to entries as a
// seeded Poisson process, without waiting for earlier answers, and checks each
// answer. It prints a table and a result line in JSON, and exits with 1 when calls
// were lost.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"
)

func main() {
	file := flag.String("plan", "plan.json", "what to send")
	seed := flag.Uint64("seed", 1, "seed of arrivals and prompts")
	show := flag.Int("show", 0, "number of answers to print")
	label := flag.String("label", "", "JSON object whose fields are added to the result line")
	flag.Parse()
	p, err := readPlan(*file)
	if err != nil {
		log.Fatal(err)
	}
	r := newRun(p, *seed, *show)
	r.execute()
	fmt.Print(r.table())
	line, err := json.Marshal(r.result(*label))
	if err != nil {
		log.Fatal(err)
	}
	fmt.Println(string(line))
	if r.lostCalls > 0 {
		os.Exit(1)
	}
}
