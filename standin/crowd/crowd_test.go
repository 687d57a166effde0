//go:build linux

package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/standin/site"
)

// Limits that the daemon is told, and the bounds that are checked.
const (
	memoryLimitMiB = 96
	descriptors    = 256
	// maxBodyBytes is the limit of the operators' pages.
	maxBodyBytes = 4 << 20
)

// Sizes of a crowd.
const (
	bodySenders = 48
	headSenders = 400 // more than there are descriptors
	// missingBytes is by how much a body stops short of its end.
	missingBytes = 4 << 10
	// hugeBytes is the announced length of a body far over the limit.
	hugeBytes = 1 << 30
	// largeChunk is the size of a large chunk, and of one write.
	largeChunk = 64 << 10
	// headBytes is the size of an unfinished head, which stays within the limits.
	headBytes = 15 << 10
)

const (
	// sendTime limits the wait until a crowd has sent all, after which it goes on, and
	// answerTime the time within which an ordinary caller is answered, who comes again
	// until then. Neither is a bound of the product's.
	sendTime   = 20 * time.Second
	answerTime = 30 * time.Second
	retryPause = 100 * time.Millisecond
)

// binary is the path of carawayd.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

// run builds carawayd without the race detector, whose memory would be counted.
func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary = filepath.Join(dir, "carawayd")
	out, err := exec.Command("go", "build", "-buildvcs=false", "-o", binary, "carawayproxy.example/caraway/cmd/carawayd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build carawayd: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// loopback gives every machine its own address in 127.0.0.0/8.
type loopback struct{ octet int }

// Host implements site.Hosts.
func (l loopback) Host(ip string) site.Host {
	parts := strings.Split(ip, ".")
	return host(fmt.Sprintf("127.%d.%s.%s", l.octet, parts[1], parts[3]))
}

// Freeze implements site.Hosts.
func (loopback) Freeze(string) {}

type host string

// Addr implements site.Host.
func (h host) Addr(port string) string { return net.JoinHostPort(string(h), port) }

// Listen implements site.Host.
func (h host) Listen(port string) (net.Listener, error) { return net.Listen("tcp", h.Addr(port)) }

// process is a daemon's process before stand-in servers.
type process struct {
	world   *site.World // nil for a plain daemon
	pid     int
	exited  chan struct{}
	callers string
	others  []string // addresses for operators and peers
	// ask sends an ordinary request with an id and returns an error unless it is answered.
	ask func(id string) error
}

// startProcess starts a daemon before plain servers and waits until it serves.
func startProcess(t *testing.T) *process {
	t.Helper()
	p := startBefore(t, memoryLimitMiB, site.Options{Plains: 4}, func(*site.World) map[string]any { return document(maxBodyBytes) })
	p.checkOrdinary(t, "before the crowd")
	return p
}

// document returns a routing document with a limit on bodies.
func document(bodyBytes int) map[string]any {
	d := site.Document(2)
	d["limits"].(map[string]any)["maxBodyBytes"] = bodyBytes
	return d
}

// startBefore starts a daemon with a memory limit before the backend servers of options and
// those that publish adds, which returns the routing document.
func startBefore(t *testing.T, memoryMiB int, options site.Options, publish func(*site.World) map[string]any) *process {
	t.Helper()
	const octets, firstOctet = 100, 125
	hosts := loopback{firstOctet + os.Getpid()%octets}
	world, err := site.NewBackends(options, hosts, (&net.Dialer{}).DialContext)
	assert.NilError(t, err)
	t.Cleanup(world.Close)
	world.Publish(publish(world))

	ip := hosts.Host("10.1.0.1").Addr("")
	ip = strings.TrimSuffix(ip, ":")
	callers := ip + ":7400"
	p := &process{world: world, exited: make(chan struct{}), callers: callers, others: []string{ip + ":7401", ip + ":7402"}, ask: func(id string) error {
		r := world.CallAt("http://"+callers+"/safe/x", http.MethodPost, id, "", "ordinary", nil)
		if r.Err != nil || r.Status != http.StatusOK || r.Body != "ordinary" {
			return errors.Errorf("status %d, body %q, error %v", r.Status, r.Body, r.Err)
		}
		return nil
	}}
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	assert.NilError(t, err)
	cmd := exec.Command(binary, "--name=edge", "--availability-zone=a", "--store="+world.StoreAddress(), "--first-start",
		"--callers-listen="+callers, "--readiness-listen="+ip+":7403", "--admin-listen="+ip+":7401", "--peers-listen="+ip+":7402")
	cmd.Env = append(os.Environ(), "CARAWAY_MEMORY_LIMIT="+strconv.Itoa(memoryMiB), "CARAWAY_DESCRIPTORS="+strconv.Itoa(descriptors))
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(t, cmd.Start())
	p.pid = cmd.Process.Pid
	go func() {
		defer close(p.exited)
		_ = cmd.Wait() // a killed process returns an error
		_ = log.Close()
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has ended
		<-p.exited
	})
	return p
}

// checkOrdinary sends an ordinary request until it is answered.
func (p *process) checkOrdinary(t *testing.T, when string) {
	t.Helper()
	var last error
	for end, n := time.Now().Add(answerTime), 0; time.Now().Before(end); n++ {
		if last = p.ask(fmt.Sprintf("%s-%d", strings.ReplaceAll(when, " ", "-"), n)); last == nil {
			return
		}
		time.Sleep(retryPause)
	}
	t.Errorf("%s: no answer to an ordinary request within %s: %v", when, answerTime, last)
}

// status returns a value in kB of the process's status.
func (p *process) status(t *testing.T, name string) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	assert.NilError(t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			n, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(t, err)
			return n
		}
	}
	t.Fatalf("no %s in the status of the process:\n%s", name, data)
	return 0
}

func (p *process) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid)) // empty after the process has ended
	return len(entries)
}

// client is one client of a crowd. It returns when it has sent all, or when its connection
// or ctx ends, and leaves the connection open.
type client func(ctx context.Context, c net.Conn)

// checkCrowd checks the daemon before the operators' platform.
func checkCrowd(t *testing.T, clients ...client) {
	t.Helper()
	startProcess(t).check(t, clients...)
}

// check lets clients connect at once and stay, and checks the process beside them.
func (p *process) check(t *testing.T, clients ...client) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var sending sync.WaitGroup
	defer sending.Wait()
	defer cancel()
	for _, send := range clients {
		sending.Go(func() {
			if c, err := dial(ctx, p.callers); err == nil { // otherwise refused
				send(ctx, c)
			}
		})
	}
	sent := make(chan struct{})
	go func() {
		sending.Wait()
		close(sent)
	}()
	most := 0
	limit := time.After(sendTime)
	for sampling := true; sampling && p.status(t, "VmHWM") <= memoryLimitMiB<<10; {
		select {
		case <-p.exited:
			t.Fatal("the process has ended")
		case <-sent:
			sampling = false
		case <-limit:
			sampling = false
		case <-time.After(retryPause):
		}
		most = max(most, p.openDescriptors())
	}
	p.checkOrdinary(t, "beside the crowd")
	select {
	case <-p.exited:
		t.Fatal("the process has ended")
	default:
	}
	most = max(most, p.openDescriptors())
	resident := p.status(t, "VmHWM")
	t.Logf("resident at most %d kB, %d descriptors at most", resident, most)
	if resident > memoryLimitMiB<<10 {
		t.Errorf("resident memory was %d kB, %d MiB are allowed", resident, memoryLimitMiB)
	}
	if most > descriptors {
		t.Errorf("%d descriptors were open, %d are allowed", most, descriptors)
	}
}

// dial opens a connection that stays open until ctx ends.
func dial(ctx context.Context, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err == nil {
		context.AfterFunc(ctx, func() { _ = c.Close() })
	}
	return c, err
}

// times returns n clients that send alike.
func times(n int, c client) []client {
	clients := make([]client, n)
	for i := range clients {
		clients[i] = c
	}
	return clients
}

// head returns the head of a request, without its last line.
func head(framing string) string {
	return "POST /safe/x HTTP/1.1\r\nHost: " + site.HostName + "\r\nX-Carawayproxy-Attempt-Id: crowd\r\nX-Carawayproxy-Key: " + site.Key +
		"\r\nX-Carawayproxy-Deadline-Ms: 60000\r\n" + framing
}

func length(n int) string { return "Content-Length: " + strconv.Itoa(n) + "\r\n\r\n" }

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// write writes n bytes in pieces, with a pause after each, until ctx ends.
func write(ctx context.Context, c io.Writer, n, piece int, pause time.Duration) bool {
	buffer := bytes.Repeat([]byte("x"), piece)
	for n > 0 && ctx.Err() == nil {
		k, err := c.Write(buffer[:min(n, piece)])
		if err != nil {
			return false
		}
		n -= k
		time.Sleep(pause)
	}
	return n == 0
}

// chunkWriter sends each write as a number of chunks of one size.
type chunkWriter struct {
	io.Writer
	size int
}

// Write implements io.Writer.
func (w chunkWriter) Write(p []byte) (int, error) {
	var out bytes.Buffer
	for rest := p; len(rest) > 0; rest = rest[min(w.size, len(rest)):] {
		part := rest[:min(w.size, len(rest))]
		fmt.Fprintf(&out, "%x\r\n%s\r\n", len(part), part)
	}
	if _, err := w.Writer.Write(out.Bytes()); err != nil {
		return 0, err
	}
	return len(p), nil
}

// body returns a client that sends the first bytes of a body.
func body(framing string, n, piece int, pause time.Duration, chunk int) client {
	return bodyAfter(head(framing), n, piece, pause, chunk)
}

// bodyAfter is like body, for a head.
func bodyAfter(head string, n, piece int, pause time.Duration, chunk int) client {
	return func(ctx context.Context, c net.Conn) {
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		w := io.Writer(c)
		if chunk > 0 {
			w = chunkWriter{c, chunk}
		}
		write(ctx, w, n, piece, pause)
	}
}

var (
	wholeBody       = body(length(maxBodyBytes), maxBodyBytes-missingBytes, maxBodyBytes, 0, 0)
	pieceByPiece    = body(length(maxBodyBytes), maxBodyBytes-missingBytes, 16<<10, time.Millisecond, 0)
	largeChunks     = body(chunked, maxBodyBytes-missingBytes, largeChunk, 0, largeChunk)
	oneByteChunks   = body(chunked, maxBodyBytes-missingBytes, 16<<10, 0, 1)
	hugeAnnounced   = body(length(hugeBytes), hugeBytes, largeChunk, 0, 0)
	hugeUnannounced = body(chunked, hugeBytes, largeChunk, 0, largeChunk)
)

// halfOpenHead sends a head without its end.
func halfOpenHead(ctx context.Context, c net.Conn) {
	sendAgain(ctx, c, head("X-Fill: "+strings.Repeat("x", headBytes)))
}

// sendAgain sends a text, and again on a new connection when its connection was closed.
func sendAgain(ctx context.Context, c net.Conn, text string) {
	for ctx.Err() == nil {
		_, _ = io.WriteString(c, text)
		_, _ = io.Copy(io.Discard, c) // until the connection ends
		_ = c.Close()
		next, err := dial(ctx, c.RemoteAddr().String())
		if err != nil {
			return
		}
		c = next
	}
}

// unreadAnswer asks for an answer as large as its body, and does not read it.
func unreadAnswer(ctx context.Context, c net.Conn) {
	body(length(maxBodyBytes), maxBodyBytes, largeChunk, 0, 0)(ctx, c)
}

// pipelined sends requests one after the other, and reads no answer.
func pipelined(ctx context.Context, c net.Conn) {
	const requests, size = 1000, 64 << 10
	for range requests {
		if _, err := io.WriteString(c, head(length(size))); err != nil || !write(ctx, c, size, size, 0) {
			return
		}
	}
}

// Bodies of legal size were read whole for every connection, without a bound over all.
func TestWholeBodies(t *testing.T)     { checkCrowd(t, times(bodySenders, wholeBody)...) }
func TestPieceByPiece(t *testing.T)    { checkCrowd(t, times(bodySenders, pieceByPiece)...) }
func TestLargeChunks(t *testing.T)     { checkCrowd(t, times(bodySenders, largeChunks)...) }
func TestOneByteChunks(t *testing.T)   { checkCrowd(t, times(bodySenders, oneByteChunks)...) }
func TestHugeAnnounced(t *testing.T)   { checkCrowd(t, times(bodySenders, hugeAnnounced)...) }
func TestHugeUnannounced(t *testing.T) { checkCrowd(t, times(bodySenders, hugeUnannounced)...) }

// Connections were bounded by a constant, not by the descriptors of the instance.
func TestHalfOpenHeads(t *testing.T) { checkCrowd(t, times(headSenders, halfOpenHead)...) }

func TestUnreadAnswers(t *testing.T) { checkCrowd(t, times(bodySenders, unreadAnswer)...) }
func TestPipelined(t *testing.T)     { checkCrowd(t, times(bodySenders, pipelined)...) }

func TestAllKinds(t *testing.T) {
	var all []client
	for _, c := range []client{wholeBody, pieceByPiece, largeChunks, oneByteChunks, hugeAnnounced, hugeUnannounced, unreadAnswer, pipelined} {
		all = append(all, times(bodySenders/4, c)...)
	}
	checkCrowd(t, append(all, times(headSenders, halfOpenHead)...)...)
}
