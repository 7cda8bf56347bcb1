// Command ebonyreel is the operators' tool: documents, status and planned
// stops.
package main

import "os"

func main() {
	err := newCommand().Execute()
	os.Exit(exitCode(err))
}
