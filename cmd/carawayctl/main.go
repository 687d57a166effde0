// Command carawayctl is the command-line client for operators of carawayd.
package main

import (
	"os"

	"carawayproxy.example/caraway/internal/ctl"
)

func main() {
	os.Exit(int(ctl.Run(os.Args[1:], os.Stdout, os.Stderr)))
}
