// Package usage reads the resource usage of a process of the stack from /proc.
package usage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/standin/stack"
)

// clockTick is the kernel's unit of CPU time.
const clockTick = 10 * time.Millisecond

// CPUTime returns the CPU time that a process has used so far.
func CPUTime(p *stack.Process) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	// The second field is the command name in parentheses, which may contain
	// spaces.
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if !ok || len(fields) <= system {
		return 0, errors.New("no CPU time in /proc/PID/stat")
	}
	u, err := strconv.Atoi(fields[user])
	if err != nil {
		return 0, errors.WithStack(err)
	}
	s, err := strconv.Atoi(fields[system])
	if err != nil {
		return 0, errors.WithStack(err)
	}
	return time.Duration(u+s) * clockTick, nil
}

// Memory returns the resident memory of a process, in bytes.
func Memory(p *stack.Process) (uint64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	for _, line := range strings.Split(string(data), "\n") {
		rest, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kib, err := strconv.ParseUint(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
		return kib << 10, errors.WithStack(err)
	}
	return 0, errors.New("no VmRSS line in /proc/PID/status")
}
