// Package stack runs a whole system as processes on loopback: the platform,
// engines, a plain service and daemons. The demo and the process tests use it.
package stack

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Process is one process of the stack.
type Process struct {
	Name    string
	LogPath string // path of the file with its output
	cmd     *exec.Cmd
	done    chan struct{}
	err     error // exit error, valid once done is closed
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits until the process ends and returns its exit error, or an error if
// it still runs after limit.
func (p *Process) Wait(limit time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(limit):
		return errors.Errorf("%s still runs after %s", p.Name, limit)
	}
}

// Daemon is one carawayd process of the stack.
type Daemon struct {
	*Process
	Callers, Admin, Peers string // "ip:port"
	args                  []string
}

// Backend is one simulated backend server of the stack, or its platform.
type Backend struct {
	*Process
	ID, Address string
	args        []string
}

// Stack is a running system. It is not safe for concurrent use.
type Stack struct {
	Bin      string // folder with the binaries
	Dir      string // folder for the logs
	Platform Backend
	Daemons  []*Daemon
	Engines  []*Backend
	Plains   []*Backend
	all      []*Process
	host     host
}

// Root returns the folder of the current Go workspace.
func Root() (string, error) {
	out, err := exec.Command("go", "env", "GOWORK").Output()
	if err != nil {
		return "", errors.Wrap(err, "find the Go workspace")
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}

// Build builds the shipped binaries and the standin command of the Go workspace
// into folder bin.
func Build(bin string) error {
	root, err := Root()
	if err != nil {
		return err
	}
	cmd := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./cmd/...", "./standin/cmd/standin")
	cmd.Dir = root
	out, err := cmd.CombinedOutput()
	return errors.Wrapf(err, "build: %s", out)
}

// New returns a stack whose only process is the platform.
func New(bin, dir string, platformArgs ...string) (*Stack, error) {
	h, err := claimHost()
	if err != nil {
		return nil, err
	}
	s := &Stack{Bin: bin, Dir: dir, host: h}
	address, err := s.host.address()
	if err != nil {
		return nil, err
	}
	s.Platform = Backend{ID: "platform", Address: address, args: append([]string{"platform", "--listen", address}, platformArgs...)}
	return s, s.startBackend(&s.Platform)
}

// AddEngine starts an engine in a fabric domain.
func (s *Stack) AddEngine(id, pool, fabric string, args ...string) (*Backend, error) {
	b, err := s.addBackend("engine", id, pool, append([]string{"--fabric", fabric}, args...))
	if err == nil {
		s.Engines = append(s.Engines, b)
	}
	return b, err
}

// AddPlain starts a backend server of a plain service.
func (s *Stack) AddPlain(id, pool string, args ...string) (*Backend, error) {
	b, err := s.addBackend("plain", id, pool, args)
	if err == nil {
		s.Plains = append(s.Plains, b)
	}
	return b, err
}

func (s *Stack) addBackend(kind, id, pool string, args []string) (*Backend, error) {
	address, err := s.host.address()
	if err != nil {
		return nil, err
	}
	b := &Backend{ID: id, Address: address}
	b.args = append([]string{kind, "--id", id, "--listen", address, "--pool", pool, "--platform", s.Platform.Address}, args...)
	return b, s.startBackend(b)
}

// Restart restarts an ended backend server at the same address.
func (s *Stack) Restart(b *Backend) error { return s.startBackend(b) }

func (s *Stack) startBackend(b *Backend) error {
	p, err := s.start(b.ID, "standin", b.args)
	b.Process = p
	return err
}

// AddDaemon starts a daemon in an availability zone.
func (s *Stack) AddDaemon(name, zone string, args ...string) (*Daemon, error) {
	d := &Daemon{}
	for _, into := range []*string{&d.Callers, &d.Admin, &d.Peers} {
		address, err := s.host.address()
		if err != nil {
			return nil, err
		}
		*into = address
	}
	d.args = append([]string{
		"--name", name, "--availability-zone", zone, "--platform", s.Platform.Address,
		"--callers-listen", d.Callers, "--admin-listen", d.Admin, "--peers-listen", d.Peers,
	}, args...)
	p, err := s.start(name, "carawayd", d.args)
	d.Process = p
	if err == nil {
		s.Daemons = append(s.Daemons, d)
	}
	return d, err
}

// RestartDaemon restarts an ended daemon with the same settings.
func (s *Stack) RestartDaemon(d *Daemon) error {
	p, err := s.start(d.Name, "carawayd", d.args)
	d.Process = p
	return err
}

func (s *Stack) start(name, binary string, args []string) (*Process, error) {
	p := &Process{Name: name, LogPath: filepath.Join(s.Dir, name+".log"), done: make(chan struct{})}
	out, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(s.Bin, binary), args...)
	p.cmd.Stdout = out
	p.cmd.Stderr = out
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", name)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	s.all = append(s.all, p)
	return p, nil
}

// Stop kills all processes and releases the loopback address.
func (s *Stack) Stop() {
	defer s.host.release()
	for _, p := range s.all {
		p.Kill()
	}
}

// Ctl runs carawayctl against a daemon and returns its output.
func (s *Stack) Ctl(d *Daemon, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(s.Bin, "carawayctl"), append([]string{"--admin", d.Admin}, args...)...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		return string(out), errors.Wrapf(err, "carawayctl %v: %s", args, out)
	}
	return string(out), nil
}

// WaitReady waits until every daemon reports ready, at most limit for each.
func (s *Stack) WaitReady(limit time.Duration) error {
	for _, d := range s.Daemons {
		if err := Until(limit, func() error { return ready(d.Callers) }); err != nil {
			return errors.Wrap(err, d.Name)
		}
	}
	return nil
}

func ready(address string) error {
	resp, err := http.Get("http://" + address + "/readyz")
	if err != nil {
		return errors.WithStack(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return nil
}

// Until calls try every 50 ms until it succeeds. If it still fails after limit,
// Until returns its last error.
func Until(limit time.Duration, try func() error) error {
	deadline := time.Now().Add(limit)
	for {
		err := try()
		if err == nil {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Wrap(err, fmt.Sprintf("no success within %s", limit))
		}
		time.Sleep(untilPoll)
	}
}

const untilPoll = 50 * time.Millisecond
