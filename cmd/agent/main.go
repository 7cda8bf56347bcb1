// Command agent stands beside one endpoint and is the only way to it.
package main

import "os"

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(1)
	}
}
