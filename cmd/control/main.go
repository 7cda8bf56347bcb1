// Command control holds documents, membership and operation records.
package main

import "os"

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
