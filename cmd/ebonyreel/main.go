// Command ebonyreel is the command line tool for operators. It manages
// documents, shows the status of processes, stops processes and explains
// placement decisions.
package main

import "os"

func main() {
	os.Exit(run(os.Args[1:]))
}

// run executes a command line and returns its exit code.
func run(args []string) int {
	c := newCommand()
	c.SetArgs(args)
	err := c.Execute()
	if err != nil {
		output, _ := c.PersistentFlags().GetString("output")
		printFailure(c.ErrOrStderr(), output, err)
	}
	return exitCode(err)
}
