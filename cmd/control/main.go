// Command control stores documents, membership and operation records.
package main

import (
	"os"

	"ebonyreel/process"
)

func main() {
	os.Exit(process.Execute(newCommand()))
}
