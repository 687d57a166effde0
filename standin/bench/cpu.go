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

// clockTick is the kernel's unit of CPU time.
const clockTick = 10 * time.Millisecond

// cpuUsage is CPU time by role. The callers run in the bench process; machine
// covers all processes, including those outside the bench.
type cpuUsage struct {
	daemon, engines, callers, machine time.Duration
}

// readCPUUsage reads the CPU time used so far by each role; d is the daemon
// under load.
func readCPUUsage(s *stack.Stack, d *stack.Daemon) (cpuUsage, error) {
	var out cpuUsage
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

// since returns the CPU time used since an earlier reading.
func (u cpuUsage) since(before cpuUsage) cpuUsage {
	return cpuUsage{
		daemon:  u.daemon - before.daemon,
		engines: u.engines - before.engines,
		callers: u.callers - before.callers,
		machine: u.machine - before.machine,
	}
}

// machineTime returns the total non-idle time of all processors.
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
	// The line holds "cpu" and then the ticks of user, nice, system, idle,
	// iowait and further states.
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
