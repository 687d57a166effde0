package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world holds the processes of a case and its record.
type world struct {
	store   *store
	dir     string
	root    string // of the repository
	self    string // this program
	started time.Time

	net string // of the addresses

	mu     sync.Mutex
	hosts  int
	record *os.File
	procs  []*proc
	said   map[string][]string // lines of servers by id
}

type proc struct {
	name  string
	cmd   *exec.Cmd
	stdin io.Closer
	done  chan struct{}
	mu    sync.Mutex
	ended bool
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{net: newNet(), dir: dir, root: root, self: self, started: time.Now(), record: f, said: map[string][]string{}}
	w.store, err = startStore(w.address("8223"))
	return w, err
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7.3f  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// address returns the next loopback address of this world with a port. Other programs take
// their ports at other addresses, so that they are free.
func (w *world) address(port string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts++
	return w.net + strconv.Itoa(w.hosts) + ":" + port
}

// newNet returns the first three bytes of loopback addresses that nobody uses.
func newNet() string { return fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250)) }

func (w *world) start(name string, env []string, out func(line string), command string, args ...string) (*proc, error) {
	cmd := exec.Command(command, args...)
	cmd.Dir = w.root
	cmd.Env = env
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	r, pw := io.Pipe()
	cmd.Stdout = pw
	log, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &proc{name: name, cmd: cmd, stdin: stdin, done: make(chan struct{})}
	go func() {
		scan := bufio.NewScanner(r)
		scan.Buffer(nil, 1<<20)
		for scan.Scan() {
			fmt.Fprintln(log, scan.Text())
			if out != nil {
				out(scan.Text())
			}
		}
		_, _ = io.Copy(io.Discard, r)
	}()
	go func() {
		err := cmd.Wait()
		_ = pw.Close()
		w.note("process %s ended: %v", name, err)
		p.mu.Lock()
		p.ended = true
		p.mu.Unlock()
		close(p.done)
	}()
	w.mu.Lock()
	w.procs = append(w.procs, p)
	w.mu.Unlock()
	return p, nil
}

func (p *proc) hasEnded() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

func (p *proc) signal(s syscall.Signal) {
	if !p.hasEnded() {
		_ = p.cmd.Process.Signal(s)
	}
}

// end kills all processes that were started and waits for them.
func (w *world) end() {
	w.mu.Lock()
	procs := append([]*proc(nil), w.procs...)
	w.mu.Unlock()
	for _, p := range procs {
		p.signal(syscall.SIGKILL)
		p.signal(syscall.SIGCONT)
	}
	for _, p := range procs {
		select {
		case <-p.done:
		case <-time.After(5 * time.Second):
		}
	}
	_ = w.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
	_ = w.record.Close()
}

// daemon is one carawayd with the command and the environment of deploy/system.toml.
type daemon struct {
	*proc
	name, zone, front, ready, admin, peers string
}

func (w *world) startDaemon(name, zone string, first bool) (*daemon, error) {
	d := &daemon{name: name, zone: zone, front: w.address("8227")}
	ip, _, _ := net.SplitHostPort(d.front)
	d.ready, d.admin, d.peers = ip+":8220", ip+":7390", ip+":7340"
	return d, w.run(d, first)
}

// run starts the process of a daemon, also once more after it has ended.
func (w *world) run(d *daemon, first bool) error {
	env := []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"CARAWAY_NAME=" + d.name, "CARAWAY_AVAILABILITY_ZONE=" + d.zone,
		"CARAWAY_REGIONS=pokhara-a=gandaki,pokhara-b=gandaki,syangja=gandaki",
		"CARAWAY_CALLERS_LISTEN=" + d.front, "CARAWAY_READINESS_LISTEN=" + d.ready,
		"CARAWAY_ADMIN_LISTEN=" + d.admin, "CARAWAY_PEERS_LISTEN=" + d.peers,
		"CARAWAY_STORE=" + w.store.addr, fmt.Sprintf("CARAWAY_FIRST_START=%t", first),
		"CARAWAY_PROCESSORS=0.4", "CARAWAY_MEMORY_LIMIT=284", "CARAWAY_DESCRIPTORS=4100",
		"CARAWAY_RETRY_RATIO=0.2", "CARAWAY_RETRY_SLACK=109", "CARAWAY_COLD_OVERSHOOT=", "CARAWAY_COLD_SLACK=",
		"CARAWAY_DRAIN_GRACE=2500ms", "CARAWAY_DRAIN_TIMEOUT=8s", "CARAWAY_LEAVING_BOUND=2000ms",
		"CARAWAY_DOCUMENT_BOUND=2000ms", "CARAWAY_EVACUATION_BOUND=",
	}
	p, err := w.start(d.name, env, nil, "target/carawayd")
	if err == nil {
		d.proc = p
	}
	return err
}

func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		res, err := http.Get("http://" + d.ready + "/carawayproxy/readyz")
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// serverProc is the process of a plain server.
type serverProc struct {
	*proc
	id, addr string
}

func (w *world) startServer(id, service, zone string, args ...string) (*serverProc, error) {
	s := &serverProc{id: id, addr: w.address("8080")}
	all := append([]string{"server", "--id", id, "--addr", s.addr, "--service", service, "--zone", zone, "--store", w.store.addr}, args...)
	p, err := w.start(id, nil, func(line string) {
		w.note("server %s: %s", id, line)
		w.mu.Lock()
		w.said[id] = append(w.said[id], line)
		w.mu.Unlock()
	}, w.self, all...)
	if err != nil {
		return nil, err
	}
	s.proc = p
	return s, nil
}

// runsOf returns the ids of the servers that have begun to run a request.
func (w *world) runsOf(attempt string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	for id, lines := range w.said {
		for _, l := range lines {
			if strings.HasPrefix(l, "run "+attempt+" ") {
				ids = append(ids, id)
			}
		}
	}
	return ids
}
