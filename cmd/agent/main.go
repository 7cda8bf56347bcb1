// Command agent runs next to one endpoint; every call to the endpoint goes
// through it.
package main

import (
	"os"

	"ebonyreel/process"
)

func main() {
	os.Exit(process.Execute(newCommand()))
}
