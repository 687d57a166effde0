// Command standin runs one stand-in as a process: the platform, an engine or a
// plain backend server. It is for tests and not part of a release.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"carawayproxy.example/caraway/standin/process"
)

func main() {
	p := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	commands := []struct {
		name, short string
		run         flags.Commander
	}{
		{"platform", "log, instance list and weight store", &process.Platform{}},
		{"engine", "one model engine", &process.Engine{}},
		{"plain", "one backend server of a plain service", &process.Plain{}},
	}
	for _, c := range commands {
		if _, err := p.AddCommand(c.name, c.short, c.short, c.run); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
	if _, err := p.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}
