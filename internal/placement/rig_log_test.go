package placement_test

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/journal"
)

// gatedLog is one daemon's way to the log.
type gatedLog struct {
	journal.Log
	running *sync.WaitGroup
	mu      sync.Mutex
	cut     bool
	late    time.Duration // appends get no answer and take effect so much later
	landed  int           // late appends that took effect
}

func (l *gatedLog) setLate(late time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.late = late
}

// appendLate leaves an append on its way after its caller has given up.
func (l *gatedLog) appendLate(ctx context.Context, s journal.Stream, p [][]byte, late time.Duration) error {
	l.running.Go(func() {
		time.Sleep(late)
		_, err := l.Log.Append(context.WithoutCancel(ctx), s, p)
		l.mu.Lock()
		defer l.mu.Unlock()
		if err == nil {
			l.landed++
		}
	})
	<-ctx.Done()
	return ctx.Err()
}

func (l *gatedLog) lateness() (late time.Duration, landed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late, l.landed
}

func (l *gatedLog) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *gatedLog) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *gatedLog) Append(ctx context.Context, s journal.Stream, p [][]byte) (journal.Offset, error) {
	if l.isCut() {
		return 0, errors.Wrap(journal.ErrNotAppended, "cut")
	}
	if late, _ := l.lateness(); late > 0 {
		return 0, l.appendLate(ctx, s, p, late)
	}
	return l.Log.Append(ctx, s, p)
}

func (l *gatedLog) Read(ctx context.Context, s journal.Stream, from journal.Offset, limit int, wait time.Duration) (journal.Page, error) {
	if l.isCut() {
		return journal.Page{}, errors.New("cut")
	}
	return l.Log.Read(ctx, s, from, limit, wait)
}
