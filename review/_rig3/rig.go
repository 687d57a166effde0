// Command rig3 holds the stand-ins of the third review and runs its cases: the platform's
// store, plain servers as processes of their own, and requesters. It uses the standard
// library only.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// rig is one small deployment: a store, daemons and servers, each daemon at a loopback
// address of its own.
type rig struct {
	store   *store
	record  *os.File
	started time.Time
	octet   int
	temp    string
	daemons []*process
	mu      sync.Mutex
	all     []*process
}

// process is a process that the case started.
type process struct {
	name, ip string
	cmd      *exec.Cmd
	ended    chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.ended
}

// newRig opens the record in the present folder and serves the store.
func newRig() *rig {
	f, err := os.Create("record.txt")
	check(err)
	temp, err := os.MkdirTemp("", "rig3-")
	check(err)
	r := &rig{store: newStore(), record: f, started: time.Now(), temp: temp}
	r.octet = 60 + os.Getpid()%150
	for ; ; r.octet++ { // addresses that nobody uses
		l, err := net.Listen("tcp", r.ip(1)+":7390")
		if err == nil {
			_ = l.Close()
			break
		}
	}
	r.store.serve(r.storeAddress())
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() { // leaves no process behind
		<-ended
		r.finish(couldNot, "ended by a signal")
	}()
	return r
}

func (r *rig) ip(n int) string         { return fmt.Sprintf("127.%d.1.%d", r.octet, n) }
func (r *rig) storeAddress() string    { return r.ip(200) + ":8223" }
func (r *rig) serverAddr(n int) string { return r.ip(100+n) + ":8027" }
func (r *rig) since() time.Duration    { return time.Since(r.started).Round(time.Millisecond) }
func front(d *process) string          { return d.ip + ":8227" }
func (r *rig) serverLog(n int) string  { return filepath.Join(r.temp, fmt.Sprintf("server-%d.log", n)) }
func (r *rig) printf(f string, a ...any) { // writes a line to the record
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(f, a...))
}

func (r *rig) start(name, ip string, cmd *exec.Cmd) *process {
	check(cmd.Start())
	p := &process{name: name, ip: ip, cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	r.mu.Lock()
	r.all = append(r.all, p)
	r.mu.Unlock()
	return p
}

// startDaemon starts a daemon as deploy/system.toml does, with its variables.
func (r *rig) startDaemon(n int, zone string, first bool) *process {
	name, ip := "edge-"+zone+"-1", r.ip(n)
	cmd := exec.Command("target/carawayd")
	cmd.Dir = os.Getenv("ROOT")
	if cmd.Dir == "" {
		cmd.Dir = "../.."
	}
	cmd.Path = filepath.Join(cmd.Dir, "target", "carawayd")
	if !filepath.IsAbs(cmd.Path) {
		path, err := filepath.Abs(cmd.Path)
		check(err)
		cmd.Path = path
	}
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
		"CARAWAY_NAME=" + name, "CARAWAY_AVAILABILITY_ZONE=" + zone, "CARAWAY_REGIONS=a=r,b=r,c=r",
		"CARAWAY_CALLERS_LISTEN=" + ip + ":8227", "CARAWAY_READINESS_LISTEN=" + ip + ":8220",
		"CARAWAY_ADMIN_LISTEN=" + ip + ":7390", "CARAWAY_PEERS_LISTEN=" + ip + ":7340",
		"CARAWAY_STORE=" + r.storeAddress(), "CARAWAY_FIRST_START=" + strconv.FormatBool(first),
		"CARAWAY_PROCESSORS=0.4", "CARAWAY_MEMORY_LIMIT=284", "CARAWAY_DESCRIPTORS=4100",
		"CARAWAY_RETRY_RATIO=0.2", "CARAWAY_RETRY_SLACK=109", "CARAWAY_DRAIN_GRACE=2500ms", "CARAWAY_DRAIN_TIMEOUT=8s",
		"CARAWAY_LEAVING_BOUND=2000ms", "CARAWAY_DOCUMENT_BOUND=2000ms",
	}
	log, err := os.OpenFile(filepath.Join(r.temp, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	check(err)
	cmd.Stdout, cmd.Stderr = log, log
	p := r.start(name, ip, cmd)
	r.printf("daemon %s starts at %s, pid %d", name, ip, p.cmd.Process.Pid)
	return p
}

// startDaemons starts three daemons, one in each zone, and waits until all are ready.
func (r *rig) startDaemons() {
	for n, zone := range []string{"a", "b", "c"} {
		r.daemons = append(r.daemons, r.startDaemon(n+1, zone, true))
	}
	end := time.Now().Add(15 * time.Second)
	for _, d := range r.daemons {
		for !ready(d) {
			if time.Now().After(end) {
				r.finish(couldNot, d.name+" is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(4 * time.Second) // they find each other
}

func ready(d *process) bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + d.ip + ":8220/carawayproxy/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startServer starts a plain server of a service at the n-th server address and writes its
// entry, as it does itself in PROTOCOL.md.
func (r *rig) startServer(n int, id, service, zone string, born int64) *process {
	cmd := exec.Command("/proc/self/exe", "server", r.serverAddr(n), id, r.serverLog(n))
	cmd.Stderr = os.Stderr
	p := r.start(id, r.ip(100+n), cmd)
	for i := 0; ; i++ {
		c, err := net.DialTimeout("tcp", r.serverAddr(n), time.Second)
		if err == nil {
			_ = c.Close()
			break
		}
		if i > 100 {
			r.finish(couldNot, "server "+id+" does not listen")
		}
		time.Sleep(10 * time.Millisecond)
	}
	r.announce(n, id, service, zone, born, "ready")
	r.printf("server %s starts at %s, pid %d", id, r.serverAddr(n), p.cmd.Process.Pid)
	return p
}

func (r *rig) announce(n int, id, service, zone string, born int64, state string) {
	r.store.putJSON("keyed.servers", id, map[string]any{
		"service": service, "addr": r.serverAddr(n), "zone": zone, "version": "v1", "slots": 17, "state": state,
		"coldLeftMs": 0, "seq": 1, "born": born,
	})
}

// finish ends all processes and the case.
func (r *rig) finish(status int, why string) {
	for _, p := range r.all {
		select {
		case <-p.ended:
		default:
			p.signal(syscall.SIGCONT)
			p.kill()
		}
	}
	words := map[int]string{held: "HELD", broken: "BROKEN", couldNot: "COULD NOT RUN"}
	r.printf("%s: %s", words[status], why)
	fmt.Printf("%s: %s\n", words[status], why)
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.temp)
	} else {
		fmt.Println(r.temp)
	}
	os.Exit(status)
}

// trouble reports whether the case runs with its disruption, and which part of it.
func trouble() string {
	if t := os.Getenv("TROUBLE"); t != "" {
		return t
	}
	return "1"
}

// answer is what a requester got.
type answer struct {
	status int
	// whole is set if the answer ended as its framing says; err tells why not.
	whole   bool
	err     error
	body    string
	header  http.Header
	longest time.Duration // between two pieces
	took    time.Duration
}

// send sends one request on a new channel and reads the answer. It gives up after gap
// without a byte of the body, as PROTOCOL.md tells of streams.
func send(address, method, path, id, key, body string, header map[string]string, budget, gap time.Duration) (a answer) {
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: review.example\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Deadline-Ms: %d\r\n", method, path, id, budget.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "X-Carawayproxy-Key: %s\r\n", key)
	}
	for _, k := range sortedKeys(header) {
		fmt.Fprintf(&b, "%s: %s\r\n", k, header[k])
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(&b, "\r\n%s", body)
	if _, err := io.WriteString(conn, b.String()); err != nil {
		a.err = err
		return a
	}
	end := began.Add(budget)
	_ = conn.SetReadDeadline(end)
	req, _ := http.NewRequest(method, "http://"+address+path, nil)
	res, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.header = res.StatusCode, res.Header
	buf := make([]byte, 4096)
	last := time.Now()
	for {
		until := end
		if gap > 0 && time.Now().Add(gap).Before(end) {
			until = time.Now().Add(gap)
		}
		_ = conn.SetReadDeadline(until)
		n, err := res.Body.Read(buf)
		if n > 0 {
			a.longest = max(a.longest, time.Since(last))
			last = time.Now()
		}
		a.body += string(buf[:n])
		if err == io.EOF {
			a.whole = true
			return a
		}
		if err != nil {
			a.err = err
			return a
		}
	}
}

func main() {
	if len(os.Args) < 2 {
		fmt.Println("rig3 CASE")
		os.Exit(couldNot)
	}
	switch os.Args[1] {
	case "server":
		serveRequests(os.Args[2], os.Args[3], os.Args[4])
	case "frozen":
		frozen()
	case "deadly":
		deadly()
	case "hot":
		hot()
	case "common":
		common()
	case "lasttenant":
		lastTenant()
	default:
		os.Exit(couldNot)
	}
}
