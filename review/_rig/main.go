// Command rig plays the cases of the review that can't be put as a day.
package main

import (
	"os"
	"os/signal"
	"syscall"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		runEngine(os.Args[2:])
		return
	}
	if len(os.Args) != 3 {
		fatal("usage: rig CASE DIR")
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() { fatal("stopped by %v", <-stopped) }()
	trouble := os.Getenv("TROUBLE") != "0"
	code := 2
	switch os.Args[1] {
	case "endless":
		code = runEndless(os.Args[2], trouble)
	case "drill":
		code = runDrill(os.Args[2], trouble)
	case "unframed":
		code = runUnframed(os.Args[2], trouble)
	case "path":
		code = runPath(os.Args[2], trouble)
	}
	stopDaemons()
	os.Exit(code)
}
