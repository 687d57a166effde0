// Command carawayd is the daemon that stands between callers and backend
// servers. Every daemon carries every role.
package main

import "os"

func main() {
	os.Exit(1)
}
