package main

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/standin/stack"
	"carawayproxy.example/caraway/standin/usage"
)

// clockTick is the kernel's unit of processor time.
const clockTick = 10 * time.Millisecond

// spent is processor time by role. The callers are the bench itself, and the
// machine is all processes, those of others included.
type spent struct {
	daemon, engines, callers, machine time.Duration
}

// spentSoFar reads what each role has used, with a daemon that takes the load.
func spentSoFar(s *stack.Stack, d *stack.Daemon) (spent, error) {
	var out spent
	var err error
	if out.daemon, err = usage.CPUTime(d.Process); err != nil {
		return out, err
	}
	for _, e := range s.Engines {
		used, err := usage.CPUTime(e.Process)
		if err != nil {
			return out, err
		}
		out.engines += used
	}
	var self syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &self); err != nil {
		return out, errors.Wrap(err, "getrusage")
	}
	out.callers = time.Duration(self.Utime.Nano() + self.Stime.Nano())
	out.machine, err = machineTime()
	return out, err
}

// since returns what was used after an earlier reading.
func (s spent) since(before spent) spent {
	return spent{
		daemon:  s.daemon - before.daemon,
		engines: s.engines - before.engines,
		callers: s.callers - before.callers,
		machine: s.machine - before.machine,
	}
}

// machineTime returns the time that all processors together were not idle.
func machineTime() (time.Duration, error) {
	f, err := os.Open("/proc/stat")
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer f.Close()
	line, err := bufio.NewReader(f).ReadString('\n')
	if err != nil {
		return 0, errors.WithStack(err)
	}
	// The line is "cpu" and the ticks of user, nice, system, idle, iowait and
	// so on.
	const idle, iowait, guest = 4, 5, 9
	var busy time.Duration
	for i, field := range strings.Fields(line) {
		if i == 0 || i == idle || i == iowait || i >= guest {
			continue
		}
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.WithStack(err)
		}
		busy += time.Duration(ticks) * clockTick
	}
	return busy, nil
}
