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

	"carawayproxy.example/caraway/internal/feed"
)

const (
	testTTL   = 1200 * time.Millisecond
	testEvery = 400 * time.Millisecond
)

var errUnavailable = errors.New("log unavailable")

// claimLog is an in-memory ClaimLog with configurable faults.
type claimLog struct {
	mu          sync.Mutex
	records     []ClaimEntry
	calls       int
	unavailable bool
	// delay is the duration of a call.
	delay time.Duration
	// writeFault decides for each write whether its response is lost. A write
	// with a lost response is carried out after the returned time, or never if
	// that is negative. Nil means no faults.
	writeFault func() (lost bool, after time.Duration)
	era        uint64 // rises with each restore
}

// end returns the position of the next record. The caller holds mu.
func (l *claimLog) end() feed.Position {
	return feed.Position{Era: l.era, Offset: uint64(len(l.records))}
}

// restore replaces the log by an older copy that lacks the newest records.
func (l *claimLog) restore(lost int) {
	l.records = slices.Clone(l.records[:max(len(l.records)-lost, 0)])
	l.era++
}

func (l *claimLog) update(change func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change()
}

func (l *claimLog) last() ClaimEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[len(l.records)-1]
}

func (l *claimLog) callCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calls
}

func (l *claimLog) call(ctx context.Context) error {
	l.mu.Lock()
	l.calls++
	delay, unavailable := l.delay, l.unavailable
	l.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return ctx.Err()
	}
	if unavailable {
		return errUnavailable
	}
	return nil
}

func (l *claimLog) Tail(ctx context.Context) (Tail, error) {
	if err := l.call(ctx); err != nil {
		return Tail{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Tail{End: l.end()}
	if n := len(l.records); n > 0 {
		last := l.records[n-1]
		t.Last = &last
	}
	return t, nil
}

func (l *claimLog) Write(ctx context.Context, at feed.Position, c ClaimEntry) error {
	if err := l.call(ctx); err != nil {
		return err
	}
	if l.writeFault != nil {
		if lost, after := l.writeFault(); lost {
			if after >= 0 {
				time.AfterFunc(after, func() { _ = l.append(at, c) })
			}
			return errUnavailable
		}
	}
	return l.append(at, c)
}

// append appends a record if the log ends at an offset. A write that is carried out late
// may meet a later era.
func (l *claimLog) append(at feed.Position, c ClaimEntry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.Offset != uint64(len(l.records)) {
		return ErrPositionConflict
	}
	l.records = append(l.records, c)
	if at.Era != l.era {
		return ErrPositionConflict
	}
	return nil
}

// clock follows the synctest clock and can be set ahead to simulate a suspension
// of the machine.
type clock struct {
	began     time.Time
	suspended atomic.Int64 // nanoseconds
}

func (c *clock) elapsed() time.Duration {
	return time.Since(c.began) + time.Second + time.Duration(c.suspended.Load())
}

// member is a running elector with its inputs.
type member struct {
	*Elector
	clock           *clock
	candidate       atomic.Bool
	knowsPeers      atomic.Bool
	outageConfirmed atomic.Bool
	// suspended blocks the member's calls. Their timeouts do not run meanwhile,
	// because they are measured in time during which the process runs.
	suspended atomic.Bool
	stop      func()
}

// start runs an elector for a new process.
func (l *claimLog) start(t *testing.T, name string) *member { return l.startAfter(t, name, "") }

// startAfter runs an elector for a process that replaces a former process on the
// same instance.
func (l *claimLog) startAfter(t *testing.T, name, former string) *member {
	m := &member{clock: &clock{began: time.Now()}}
	m.candidate.Store(true)
	m.knowsPeers.Store(true)
	m.Elector = NewElector(ElectorConfig{
		Scope: "placement", Log: suspendableLog{l, m}, Member: name, TTL: testTTL, RenewInterval: testEvery,
		IsPredecessor: func(member string) bool { return member == former },
		IsCandidate:   m.candidate.Load, KnowsPeers: m.knowsPeers.Load, OutageConfirmed: m.outageConfirmed.Load, MaxOutageExtension: 10 * time.Second, Elapsed: m.clock.elapsed,
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

// suspendableLog is a member's connection to the log. It delays responses while
// the member is suspended.
type suspendableLog struct {
	*claimLog
	m *member
}

func (s suspendableLog) waitAwake() {
	for s.m.suspended.Load() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (s suspendableLog) Tail(ctx context.Context) (Tail, error) {
	s.waitAwake()
	defer s.waitAwake()
	return s.claimLog.Tail(context.WithoutCancel(ctx))
}

func (s suspendableLog) Write(ctx context.Context, at feed.Position, c ClaimEntry) error {
	s.waitAwake()
	defer s.waitAwake()
	return s.claimLog.Write(context.WithoutCancel(ctx), at, c)
}

func (m *member) term() Term {
	hold, ok := m.Held("placement")
	if !ok || !hold.Valid(time.Now()) {
		return 0
	}
	return hold.Term
}

func runMember(t *testing.T, l *claimLog, run func(t *testing.T, m *member)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := l.start(t, "m")
		time.Sleep(100 * time.Millisecond)
		run(t, m)
		m.stop()
	})
}

func TestElectorHoldsClaimedScope(t *testing.T) {
	l := &claimLog{}
	runMember(t, l, func(t *testing.T, m *member) {
		assert.Equal(t, m.term(), Term(1))
		_, ok := m.Held("another")
		assert.Assert(t, !ok)

		time.Sleep(10 * time.Second)
		assert.Equal(t, m.term(), Term(1), "a hold that is renewed must keep its term")
		renewals := l.callCount()
		assert.Assert(t, renewals >= 24 && renewals <= 28, "%d calls in 10 s", renewals)

		l.update(func() { l.records = append(l.records, ClaimEntry{Member: "other", Term: 99, TTL: testTTL}) })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, m.term(), Term(0), "another daemon has claimed the scope")
	})
}

func TestHoldEndsWithoutRenewals(t *testing.T) {
	l := &claimLog{}
	runMember(t, l, func(t *testing.T, m *member) {
		l.update(func() { l.unavailable = true })
		time.Sleep(1200 * time.Millisecond)
		assert.Equal(t, m.term(), Term(0))

		l.update(func() { l.unavailable = false })
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, m.term() > 1, "after an expired hold a new term must begin")
	})
}

// A hold must not survive a suspension of the machine, and a renewal whose
// response arrives late must count from when it was sent.
func TestHoldDoesNotOutlastASuspension(t *testing.T) {
	runMember(t, &claimLog{}, func(t *testing.T, m *member) {
		m.clock.suspended.Store(int64(3 * time.Second))
		assert.Equal(t, m.term(), Term(0))
	})
	runMember(t, &claimLog{delay: 300 * time.Millisecond}, func(t *testing.T, m *member) {
		time.Sleep(700 * time.Millisecond) // a renewal is in flight
		assert.Equal(t, m.term(), Term(1))
		m.clock.suspended.Store(int64(3 * time.Second))
		time.Sleep(150 * time.Millisecond) // its response has arrived
		assert.Equal(t, m.term(), Term(0), "the renewal was sent too long ago")
	})
}

func TestNonCandidateDoesNotAccessLog(t *testing.T) {
	l := &claimLog{}
	synctest.Test(t, func(t *testing.T) {
		m := l.start(t, "m")
		m.candidate.Store(false)
		calls := l.callCount()
		time.Sleep(5 * time.Second)
		assert.Equal(t, l.callCount(), calls)
		m.stop()
	})
}

// A daemon that stops must not claim the scope again, even if it has no holder.
// The next daemon must not have to wait for the hold to expire.
func TestReleaseIsPermanent(t *testing.T) {
	l := &claimLog{}
	runMember(t, l, func(t *testing.T, m *member) {
		time.Sleep(320 * time.Millisecond)
		assert.NilError(t, m.Release(t.Context()))
		calls := l.callCount()
		time.Sleep(2 * time.Second)
		assert.Equal(t, m.term(), Term(0))
		assert.Equal(t, l.callCount(), calls)

		next := l.start(t, "n")
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, next.term() > 1)
		next.stop()
	})
}

// If several daemons start together, one holds the scope at once and keeps it.
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

// Daemons that start together know nobody, so that each was the first candidate.
func TestDaemonClaimedBeforeItKnewTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &claimLog{}
		newcomer, former := l.start(t, "newcomer"), l.start(t, "former")
		newcomer.knowsPeers.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, newcomer.term() == 0 && former.term() != 0)
		former.stop()

		// Only the successor of the last holder need not wait.
		other, successor := l.start(t, "other"), l.startAfter(t, "successor", "former")
		other.knowsPeers.Store(false)
		successor.knowsPeers.Store(false)
		time.Sleep(10 * time.Millisecond)
		assert.Assert(t, other.term() == 0 && successor.term() != 0)
		successor.stop()

		// The hold of another ends TTL after it was first seen, as without the wait.
		time.Sleep(testTTL - 5*time.Millisecond)
		newcomer.candidate.Store(false)
		other.knowsPeers.Store(true)
		time.Sleep(testEvery)
		assert.Assert(t, other.term() != 0 && newcomer.term() == 0)
		other.stop()
		newcomer.stop()
	})
}

// When a holder dies, another daemon must take over as soon as the hold has
// expired, even if it knows of the renewals only from the holder's reports and
// has not read the log.
func TestClaimAfterHolderFailure(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprintf("reported=%t", reported), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &claimLog{}
				dead, next := l.start(t, "dead"), l.start(t, "next")
				next.candidate.Store(false)
				for range 30 {
					time.Sleep(100 * time.Millisecond)
					if reported {
						next.ObserveRenewal(dead.LastRenewal())
					}
				}
				assert.Equal(t, dead.term(), Term(1))
				dead.stop()
				next.candidate.Store(true)
				died := time.Now()
				most := testTTL + testEvery
				if reported {
					most = testTTL + 100*time.Millisecond // plus one step of Run
				}
				for next.term() == 0 {
					time.Sleep(10 * time.Millisecond)
					assert.Assert(t, time.Since(died) < most, "no daemon took over")
				}
				assert.Assert(t, dead.term() == 0)
				next.stop()
			})
		})
	}
}

// A process that replaces the holder on the same instance must not have to wait
// for the hold to expire.
func TestRestartedProcessClaimsWithoutWaiting(t *testing.T) {
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

// A renewal whose response was lost counts from when it was sent, and the hold
// keeps its term.
func TestHoldSurvivesLostResponses(t *testing.T) {
	l := &claimLog{}
	runMember(t, l, func(t *testing.T, m *member) {
		n := 0
		l.update(func() { l.writeFault = func() (bool, time.Duration) { n++; return n%2 == 1, 0 } })
		for range 100 {
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, m.term(), Term(1))
		}
	})
}

// During an outage of the log a holder keeps its hold for a limited time, while
// the other daemons report the outage too.
func TestHoldExtendedDuringConfirmedOutage(t *testing.T) {
	l := &claimLog{}
	runMember(t, l, func(t *testing.T, m *member) {
		l.update(func() { l.unavailable = true })
		m.outageConfirmed.Store(true)
		time.Sleep(5 * time.Second)
		assert.Equal(t, m.term(), Term(1))

		m.outageConfirmed.Store(false)
		assert.Equal(t, m.term(), Term(0), "the log responds to a peer")
		m.outageConfirmed.Store(true)
		assert.Equal(t, m.term(), Term(1))
		l.update(func() { l.unavailable = false })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, m.term(), Term(1), "the hold must continue after the outage")

		l.update(func() { l.unavailable = true })
		time.Sleep(12 * time.Second)
		assert.Equal(t, m.term(), Term(0), "the extension of a hold must be limited")
	})
	// Reports that peers sent before a suspension must be disregarded after it.
	runMember(t, &claimLog{}, func(t *testing.T, m *member) {
		m.outageConfirmed.Store(true)
		m.clock.suspended.Store(int64(3 * time.Second))
		assert.Equal(t, m.term(), Term(0))
	})
	// A hold must not be extended while the log responds.
	l = &claimLog{}
	runMember(t, l, func(t *testing.T, m *member) {
		m.outageConfirmed.Store(true)
		l.update(func() { l.records = append(l.records, ClaimEntry{Member: "other", Term: 99, TTL: testTTL}) })
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, m.term(), Term(0))
	})
}

// A restored log lacks the last claim, and ends with a record after which nobody need
// wait. Its reader claimed the scope at once, beside the daemon whose claim was lost, or
// under the same term.
func TestRestoredLogLackedTheLastClaim(t *testing.T) {
	earlier := ClaimEntry{Member: "next", Term: 1, Serial: 1, TTL: testTTL, Era: firstEra, HasEra: true}
	released := earlier
	released.Member = ""
	for _, test := range []struct {
		name string
		left []ClaimEntry // records that the log still has
		// next starts the daemon that reads the log.
		next func(t *testing.T, l *claimLog) *member
		// knows is set if that daemon has seen the log before.
		knows bool
	}{
		{"a claim of its own", []ClaimEntry{earlier}, func(t *testing.T, l *claimLog) *member { return l.start(t, "next") }, false},
		{"a claim of its predecessor", []ClaimEntry{earlier}, func(t *testing.T, l *claimLog) *member { return l.startAfter(t, "next-2", "next") }, false},
		{"a release", []ClaimEntry{released}, func(t *testing.T, l *claimLog) *member { return l.start(t, "other") }, false},
		{"a release, and the daemon has seen the log before", []ClaimEntry{released}, func(t *testing.T, l *claimLog) *member { return l.start(t, "other") }, true},
		{"nothing", nil, func(t *testing.T, l *claimLog) *member { return l.start(t, "other") }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &claimLog{delay: 4 * time.Millisecond, era: firstEra, records: slices.Clone(test.left)}
				var next *member
				holder := l.start(t, "holder")
				time.Sleep(2 * testTTL)
				term := holder.term()
				assert.Assert(t, term != 0)
				if test.knows {
					next = test.next(t, l)
					time.Sleep(testEvery)
				}
				holder.suspended.Store(true) // does not hear of the restore
				l.update(func() { l.restore(len(l.records) - len(test.left)) })
				if next == nil {
					next = test.next(t, l)
				}
				for range 300 {
					time.Sleep(10 * time.Millisecond)
					assert.Assert(t, holder.term() == 0 || next.term() == 0, "both hold the scope")
				}
				assert.Assert(t, next.term() > term, "term %d follows %d", next.term(), term)
				holder.suspended.Store(false)
				time.Sleep(time.Second)
				assert.Equal(t, holder.term(), Term(0))
				holder.stop()
				next.stop()
			})
		})
	}
}

// A claim that was sent before a restore was written late, behind those of the new era. A
// daemon that knew only the first of these took the last of the old era for the newest,
// and the next term that it knew of nothing for a new one: another member had held it.
func TestLateClaimHidTheNewestTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const era = firstEra + 1
		l := &claimLog{delay: 4 * time.Millisecond, era: era}
		first := l.start(t, "first")
		time.Sleep(3 * testTTL)
		next := l.start(t, "next")
		time.Sleep(testEvery)
		assert.Equal(t, l.last(), ClaimEntry{Member: "first", Term: first.term(), Serial: l.last().Serial, TTL: testTTL, Era: era, HasEra: true})
		first.stop()
		next.candidate.Store(false) // it knows of the first term only
		other := l.start(t, "other")
		time.Sleep(3 * testTTL)
		term := other.term()
		assert.Assert(t, term != 0)
		other.stop()
		l.update(func() {
			l.records = append(l.records, ClaimEntry{Member: "late", Term: 1, TTL: testTTL, Era: firstEra, HasEra: true})
		})
		next.candidate.Store(true)
		time.Sleep(3 * testTTL)
		assert.Assert(t, next.term() > term, "term %d of another member follows %d", next.term(), term)
		next.stop()
	})
}

// A holder renews its hold in a restored log, also one that it has kept in an outage, and
// under the term that it had.
func TestHoldSurvivesARestore(t *testing.T) {
	for _, away := range []time.Duration{0, time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &claimLog{delay: 4 * time.Millisecond, era: firstEra}
				holder := l.start(t, "holder")
				time.Sleep(2 * testTTL)
				other := l.start(t, "other")
				term := holder.term()
				for range 2 {
					holder.outageConfirmed.Store(away > 0)
					l.update(func() { l.unavailable = away > 0 })
					time.Sleep(away)
					l.update(func() { l.unavailable = false; l.restore(5) })
					for range 400 {
						time.Sleep(10 * time.Millisecond)
						assert.Assert(t, holder.term() == term && other.term() == 0, "terms %d and %d", holder.term(), other.term())
					}
				}
				holder.stop()
				other.stop()
			})
		})
	}
}

// Two daemons must never both hold the scope, nor one after the other under the same
// term, whichever writes are lost or delayed, whichever daemons are suspended or
// restarted, and whenever the log comes back from an older copy.
func TestNeverTwoHolders(t *testing.T) {
	for seed := range uint64(60) {
		for name, restores := range map[string]bool{"": false, ",restores": true} {
			t.Run(fmt.Sprintf("seed=%d%s", seed, name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runRandomSchedule(t, seed, restores) })
			})
		}
	}
}

func runRandomSchedule(t *testing.T, seed uint64, restores bool) {
	var mu sync.Mutex
	rng := rand.New(rand.NewPCG(seed, 1))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	l := &claimLog{delay: 4 * time.Millisecond, era: firstEra}
	var members []*member
	l.writeFault = func() (bool, time.Duration) {
		if draw(4) != 0 {
			return false, 0
		}
		return true, time.Duration(draw(3000)-500) * time.Millisecond
	}
	for i := range 4 {
		members = append(members, l.start(t, fmt.Sprint(i)))
	}
	held, available := 0, 0
	holderOf := map[Term]*member{}
	for n := 0; available < 2000; n++ {
		time.Sleep(20 * time.Millisecond)
		l.update(func() {
			if !l.unavailable {
				available++
			}
		})
		running := slices.DeleteFunc(slices.Clone(members), func(m *member) bool { return m.suspended.Load() })
		holding := holders(running)
		assert.Assert(t, len(holding) <= 1, "%v hold the scope", holding)
		held += len(holding)
		for _, i := range holding {
			m := running[i]
			if term := m.term(); term != 0 {
				assert.Assert(t, holderOf[term] == nil || holderOf[term] == m, "term %d of two members", term)
				holderOf[term] = m
			}
		}
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
			members[draw(4)].candidate.Store(draw(2) == 0)
		case 3:
			for _, m := range members {
				m.ObserveRenewal(members[draw(4)].LastRenewal())
			}
		case 4:
			l.update(func() { l.unavailable = !l.unavailable })
		case 5:
			if restores && draw(10) == 0 { // every twelve seconds, after which the log is available
				l.update(func() { l.restore(draw(12)); l.unavailable = false })
			}
		}
	}
	assert.Assert(t, held > 400, "the scope was held in %d checks, and the log was available in %d", held, available)
	for _, m := range members {
		m.stop()
	}
	time.Sleep(5 * time.Second) // let delayed writes finish
}
