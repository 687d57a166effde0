package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/standin/stack"
)

// clockTick is the kernel's unit of processor time.
const clockTick = 10 * time.Millisecond

// cpuTime returns the processor time that a daemon has used so far.
func cpuTime(d *stack.Daemon) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID()))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	// The second field is the name in brackets, which may hold spaces.
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12
	if !ok || len(fields) <= system {
		return 0, errors.New("no processor time in stat")
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

// profile writes a processor profile of the daemon, taken over half a phase.
func profile(d *stack.Daemon, opt options) {
	seconds := max(int(opt.Duration.Seconds()/2), 1)
	resp, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", d.Admin, seconds))
	if err != nil {
		fmt.Fprintln(os.Stderr, "profile:", err)
		return
	}
	defer resp.Body.Close()
	out, err := os.Create(opt.Profile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "profile:", err)
		return
	}
	defer out.Close()
	if _, err := io.Copy(out, resp.Body); err != nil {
		fmt.Fprintln(os.Stderr, "profile:", err)
	}
}
