package placement_test

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/journal"
)

// faultyLog is one daemon's connection to the log, with injected faults.
type faultyLog struct {
	journal.Log
	running *sync.WaitGroup
	mu      sync.Mutex
	cut     bool          // if set, all calls fail
	late    time.Duration // if positive, appends get no answer and are applied after this delay
	applied int           // late appends that were applied
}

func (l *faultyLog) setLate(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = late
}

// appendLate applies an append after its caller has timed out.
func (l *faultyLog) appendLate(ctx context.Context, s journal.Stream, p [][]byte, late time.Duration) error {
	l.running.Go(func() {
		time.Sleep(late)
		_, err := l.Log.Append(context.WithoutCancel(ctx), s, p)
		l.mu.Lock()
		defer l.mu.Unlock()
		if err == nil {
			l.applied++
		}
	})
	<-ctx.Done()
	return ctx.Err()
}

func (l *faultyLog) lateAppends() (late time.Duration, applied int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late, l.applied
}

func (l *faultyLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *faultyLog) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *faultyLog) Append(ctx context.Context, s journal.Stream, p [][]byte) (journal.Offset, error) {
	if l.isCut() {
		return 0, errors.Wrap(journal.ErrNotAppended, "cut")
	}
	if late, _ := l.lateAppends(); late > 0 {
		return 0, l.appendLate(ctx, s, p, late)
	}
	return l.Log.Append(ctx, s, p)
}

func (l *faultyLog) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	if l.isCut() {
		return journal.Page{}, errors.New("cut")
	}
	return l.Log.Read(ctx, s, from, limit, wait)
}
