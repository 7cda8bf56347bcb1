// Command agent stands beside one endpoint and is the only way to it.
package main

import (
	"os"

	"ebonyreel/process"
)

func main() {
	os.Exit(process.ExitCode(newCommand().Execute()))
}
