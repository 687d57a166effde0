package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

const (
	testTTL   = 1200 * time.Millisecond
	testEvery = 400 * time.Millisecond
)

var errAway = errors.New("away")

// claimLog is a log in memory that fails as a test says.
type claimLog struct {
	mu      sync.Mutex
	records []ClaimEntry
	calls   int
	away    bool
	// delay is how long a call takes.
	delay time.Duration
	// fate decides what becomes of a write: whether its answer is lost, and
	// after which time it is carried out then, negative for never; nil for no
	// such thing.
	fate func() (lost bool, after time.Duration)
}

func (l *claimLog) set(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *claimLog) asked() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func (l *claimLog) call(ctx context.Context) error {
	l.mu.Lock()
	l.calls++
	delay, away := l.delay, l.away
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if away {
		return errAway
	}
	return nil
}

func (l *claimLog) Tail(ctx context.Context) (Tail, error) {
	if err := l.call(ctx); err != nil {
		return Tail{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Tail{End: uint64(len(l.records))}
	if t.End > 0 {
		last := l.records[t.End-1]
		t.Last = &last
	}
	return t, nil
}

func (l *claimLog) Write(ctx context.Context, at uint64, c ClaimEntry) error {
	if err := l.call(ctx); err != nil {
		return err
	}
	if l.fate != nil {
		if lost, after := l.fate(); lost {
			if after >= 0 {
				time.AfterFunc(after, func() { _ = l.append(at, c) })
			}
			return errAway
		}
	}
	return l.append(at, c)
}

func (l *claimLog) append(at uint64, c ClaimEntry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at != uint64(len(l.records)) {
		return ErrMoved
	}
	l.records = append(l.records, c)
	return nil
}

// clock runs with the bubble's and can be set ahead, as a suspended machine's.
type clock struct {
	began     time.Time
	suspended atomic.Int64 // nanoseconds
}

func (c *clock) elapsed() time.Duration {
	return time.Since(c.began) + time.Second + time.Duration(c.suspended.Load())
}

// member is a tenure that runs.
type member struct {
	*Tenure
	clock   *clock
	stands  atomic.Bool
	vouched atomic.Bool
	// suspended has the member's calls stand still. Their timeouts go by time
	// that passes for the process, so that they end after it.
	suspended atomic.Bool
	stop      func()
}

// start runs a tenure, as if its process had just begun.
func (l *claimLog) start(t *testing.T, name string) *member { return l.startAfter(t, name, "") }

// startAfter runs a tenure on the instance of a process that has ended.
func (l *claimLog) startAfter(t *testing.T, name, former string) *member {
	m := &member{clock: &clock{began: time.Now()}}
	m.stands.Store(true)
	m.Tenure = NewTenure(TenureConfig{
		Scope: "placement", Log: suspendable{l, m}, Member: name, TTL: testTTL, Every: testEvery,
		Former: func(member string) bool { return member == former },
		Stands: m.stands.Load, Vouched: m.vouched.Load, MaxVouched: 10 * time.Second, Elapsed: m.clock.elapsed,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	m.stop = func() {
		cancel()
		<-done
	}
	return m
}

// suspendable is the log as a member sees it: its answers wait while the member
// is suspended.
type suspendable struct {
	*claimLog
	m *member
}

func (s suspendable) wake() {
	for s.m.suspended.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s suspendable) Tail(ctx context.Context) (Tail, error) {
	s.wake()
	defer s.wake()
	return s.claimLog.Tail(context.WithoutCancel(ctx))
}

func (s suspendable) Write(ctx context.Context, at uint64, c ClaimEntry) error {
	s.wake()
	defer s.wake()
	return s.claimLog.Write(context.WithoutCancel(ctx), at, c)
}

func (m *member) term() Term {
	hold, ok := m.Held("placement")
	if !ok || !hold.Valid(time.Now()) {
		return 0
	}
	return hold.Term
}

func playTenure(t *testing.T, l *claimLog, play func(t *testing.T, m *member)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := l.start(t, "m")
		time.Sleep(100 * time.Millisecond)
		play(t, m)
		m.stop()
	})
}

func TestTenureHoldsWhatItClaims(t *testing.T) {
	l := &claimLog{}
	playTenure(t, l, func(t *testing.T, m *member) {
		assert.Equal(t, m.term(), Term(1))
		_, ok := m.Held("another")
		assert.Assert(t, !ok)

		time.Sleep(10 * time.Second)
		assert.Equal(t, m.term(), Term(1), "a hold that goes on keeps its term")
		renewals := l.asked()
		assert.Assert(t, renewals >= 24 && renewals <= 28, "%d calls in 10 s", renewals)

		l.set(func() { l.records = append(l.records, ClaimEntry{Member: "other", Term: 99, TTL: testTTL}) })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, m.term(), Term(0), "another daemon has claimed the scope")
	})
}

func TestHoldEndsWithoutRenewals(t *testing.T) {
	l := &claimLog{}
	playTenure(t, l, func(t *testing.T, m *member) {
		l.set(func() { l.away = true })
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, m.term(), Term(0))

		l.set(func() { l.away = false })
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, m.term() > 1, "a hold that had ended begins a new term")
	})
}

// A machine that was suspended does not trust its hold, and an answer that
// came late counts from when its renewal was sent.
func TestHoldDoesNotOutlastASuspension(t *testing.T) {
	playTenure(t, &claimLog{}, func(t *testing.T, m *member) {
		m.clock.suspended.Store(int64(3 * time.Second))
		assert.Equal(t, m.term(), Term(0))
	})
	playTenure(t, &claimLog{delay: 300 * time.Millisecond}, func(t *testing.T, m *member) {
		time.Sleep(700 * time.Millisecond) // a renewal is under way
		assert.Equal(t, m.term(), Term(1))
		m.clock.suspended.Store(int64(3 * time.Second))
		time.Sleep(150 * time.Millisecond) // its answer has come
		assert.Equal(t, m.term(), Term(0), "the answer was sent for a time that is over")
	})
}

func TestDaemonThatDoesNotStandAsksForNothing(t *testing.T) {
	l := &claimLog{}
	synctest.Test(t, func(t *testing.T) {
		m := l.start(t, "m")
		m.stands.Store(false)
		calls := l.asked()
		time.Sleep(5 * time.Second)
		assert.Equal(t, l.asked(), calls)
		m.stop()
	})
}

// A daemon that stops claims nothing again, also when nobody else leads, and
// the next one need not wait for its time to end.
func TestGivenBackForGood(t *testing.T) {
	l := &claimLog{}
	playTenure(t, l, func(t *testing.T, m *member) {
		time.Sleep(320 * time.Millisecond)
		assert.NilError(t, m.GiveBack(t.Context()))
		calls := l.asked()
		time.Sleep(2 * time.Second)
		assert.Equal(t, m.term(), Term(0))
		assert.Equal(t, l.asked(), calls)

		next := l.start(t, "n")
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, next.term() > 1)
		next.stop()
	})
}

// Of daemons that start together one holds the scope at once and for good.
func TestOneOfManyClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &claimLog{delay: 4 * time.Millisecond}
		var members []*member
		for i := range 9 {
			members = append(members, l.start(t, fmt.Sprint(i)))
		}
		time.Sleep(50 * time.Millisecond)
		first := holders(members)
		assert.Equal(t, len(first), 1)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			assert.DeepEqual(t, holders(members), first)
		}
		for _, m := range members {
			m.stop()
		}
	})
}

func holders(members []*member) []int {
	var held []int
	for i, m := range members {
		if m.term() != 0 {
			held = append(held, i)
		}
	}
	return held
}

// A holder that died is followed as soon as its time is over, also by daemons
// that learned of its renewals from it and never read the log.
func TestClaimAfterADeath(t *testing.T) {
	for _, heard := range []bool{true, false} {
		t.Run(fmt.Sprintf("heard=%t", heard), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &claimLog{}
				dead, next := l.start(t, "dead"), l.start(t, "next")
				next.stands.Store(false)
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					if heard {
						next.Heard(dead.Renewed())
					}
				}
				assert.Equal(t, dead.term(), Term(1))
				dead.stop()
				next.stands.Store(true)
				died := time.Now()
				most := testTTL + testEvery
				if heard {
					most = testTTL + 100*time.Millisecond // a step of Run
				}
				for next.term() == 0 {
					time.Sleep(10 * time.Millisecond)
					assert.Assert(t, time.Since(died) < most, "nobody took over")
				}
				assert.Assert(t, dead.term() == 0)
				next.stop()
			})
		})
	}
}

// A process that follows the holder on its instance need not wait for its time
// to end.
func TestFollowerOnTheSameInstanceClaimsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &claimLog{}
		former := l.start(t, "edge-1-a")
		time.Sleep(time.Second)
		former.stop()
		next := l.start(t, "edge-1-b")
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, next.term(), Term(0))
		next.stop()

		next = l.startAfter(t, "edge-1-b", "edge-1-a")
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, next.term() > 1)
		next.stop()
	})
}

// A renewal whose answer was lost counts from when it was sent; the hold goes
// on under its term.
func TestLostAnswersEndNoHold(t *testing.T) {
	l := &claimLog{}
	playTenure(t, l, func(t *testing.T, m *member) {
		n := 0
		l.set(func() { l.fate = func() (bool, time.Duration) { n++; return n%2 == 1, 0 } })
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, m.term(), Term(1))
		}
	})
}

// While the log is away for everybody the holder goes on, as long as the others
// say so and for a time.
func TestVouchedHold(t *testing.T) {
	l := &claimLog{}
	playTenure(t, l, func(t *testing.T, m *member) {
		l.set(func() { l.away = true })
		m.vouched.Store(true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, m.term(), Term(1))

		m.vouched.Store(false)
		assert.Equal(t, m.term(), Term(0), "a peer is answered by the log")
		m.vouched.Store(true)
		assert.Equal(t, m.term(), Term(1))
		l.set(func() { l.away = false })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, m.term(), Term(1), "the hold goes on when the log is back")

		l.set(func() { l.away = true })
		time.Sleep(12 * time.Second)
		assert.Equal(t, m.term(), Term(0), "no hold is vouched for without end")
	})
	// What peers told before a suspension says nothing after it.
	playTenure(t, &claimLog{}, func(t *testing.T, m *member) {
		m.vouched.Store(true)
		m.clock.suspended.Store(int64(3 * time.Second))
		assert.Equal(t, m.term(), Term(0))
	})
	// Nobody vouches against a log that answers.
	l = &claimLog{}
	playTenure(t, l, func(t *testing.T, m *member) {
		m.vouched.Store(true)
		l.set(func() { l.records = append(l.records, ClaimEntry{Member: "other", Term: 99, TTL: testTTL}) })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, m.term(), Term(0))
	})
}

// Whatever is lost, late, suspended or restarted: of two daemons never both
// hold the scope.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playRandomly(t, seed) })
		})
	}
}

func playRandomly(t *testing.T, seed uint64) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	l := &claimLog{delay: 4 * time.Millisecond}
	var members []*member
	l.fate = func() (bool, time.Duration) {
		if draw(4) != 0 {
			return false, 0
		}
		return true, time.Duration(draw(3000)-500) * time.Millisecond
	}
	for i := range 4 {
		members = append(members, l.start(t, fmt.Sprint(i)))
	}
	held := 0
	for n := range 2000 {
		time.Sleep(20 * time.Millisecond)
		running := slices.DeleteFunc(slices.Clone(members), func(m *member) bool { return m.suspended.Load() })
		holding := holders(running)
		assert.Assert(t, len(holding) <= 1, "%v hold the scope", holding)
		held += len(holding)
		switch draw(60) {
		case 0:
			m := members[draw(4)]
			m.suspended.Store(true)
			time.AfterFunc(time.Duration(draw(3000))*time.Millisecond, func() { m.suspended.Store(false) })
		case 1:
			i := draw(4)
			members[i].stop()
			members[i] = l.start(t, fmt.Sprintf("%d-%d", i, n))
		case 2:
			members[draw(4)].stands.Store(draw(2) == 0)
		case 3:
			for _, m := range members {
				m.Heard(members[draw(4)].Renewed())
			}
		case 4:
			l.set(func() { l.away = !l.away })
		}
	}
	assert.Assert(t, held > 200, "the scope was hardly ever held")
	for _, m := range members {
		m.stop()
	}
	time.Sleep(5 * time.Second) // late writes
}
