// Command entry accepts calls from callers and places them on endpoints.
package main

import (
	"os"

	"ebonyreel/process"
)

func main() {
	os.Exit(process.Execute(newCommand()))
}
