// Command entry takes calls from callers and places them on endpoints.
package main

import "os"

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
