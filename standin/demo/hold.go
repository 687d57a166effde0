package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
)

// adminAddresses lists the admin addresses of the daemons, the target's first.
func (d *demo) adminAddresses() string {
	out := []string{d.target.Admin}
	for _, x := range d.stack.Daemons {
		if x != d.target {
			out = append(out, x.Admin)
		}
	}
	return strings.Join(out, ",")
}

// holdUntilInterrupt keeps the system running until an interrupt. It writes the
// addresses, process ids and log directory to out/play.env for use by a shell.
func (d *demo) holdUntilInterrupt(root string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "export PATH=%s:$PATH\n", filepath.Join(d.stack.Dir, "bin"))
	fmt.Fprintf(&b, "export LOGS=%s PLATFORM=%s\n", d.stack.Dir, d.stack.Platform.Address)
	fmt.Fprintf(&b, "export CARAWAY_ADMIN=%s CARAWAY_AUTHOR=trust\n", d.adminAddresses())
	for i, x := range d.stack.Daemons {
		fmt.Fprintf(&b, "export CALLERS_%d=%s ADMIN_%d=%s DAEMON_%d_PID=%d\n", i+1, x.Callers, i+1, x.Admin, i+1, x.PID())
	}
	for i, e := range d.stack.Engines {
		fmt.Fprintf(&b, "export ENGINE_%d=%s ENGINE_%d_PID=%d\n", i+1, e.Address, i+1, e.PID())
	}
	out := filepath.Join(root, "out")
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	file := filepath.Join(out, "play.env")
	if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
		return err
	}
	d.printf("running until interrupted; in another shell: . out/play.env")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return os.Remove(file)
}
