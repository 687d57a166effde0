package feed

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// source is a Source with configurable failures.
type source struct {
	allCalls, sinceCalls int
	failures             int // number of the next reads that fail
	gap, gapAlways       bool
}

func (s *source) All(context.Context) ([]Item[string], Position, error) {
	s.allCalls++
	if s.failures > 0 {
		s.failures--
		return nil, Position{}, errors.New("away")
	}
	return []Item[string]{{Key: "a", Value: "1"}}, Position{Offset: 10}, nil
}

func (s *source) Since(ctx context.Context, from Position, wait time.Duration) ([]Item[string], Position, error) {
	s.sinceCalls++
	switch {
	case s.failures > 0:
		s.failures--
		return nil, from, errors.New("away")
	case s.gap || s.gapAlways:
		s.gap = false
		return nil, from, ErrGap
	}
	select {
	case <-time.After(min(wait, time.Second)):
	case <-ctx.Done():
		return nil, from, ctx.Err()
	}
	return []Item[string]{{Key: "b", Position: from}}, from.Next(), nil
}

// follow runs a follower for forTime of synthetic time and returns the numbers
// of complete reads, changes and errors.
func follow(t *testing.T, s *source, interval, forTime time.Duration) (complete, changes, failed int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), forTime)
		defer stop()
		f := Follower[string]{
			Source: s, MaxWait: 5 * time.Second,
			Sink: Sink[string]{
				OnSnapshot: func([]Item[string], Position) { complete++ },
				OnChanges:  func(items []Item[string]) { changes += len(items) },
				OnError:    func(error) { failed++ },
			},
		}
		if interval > 0 {
			f.MinInterval = func() time.Duration { return interval }
		}
		f.Run(ctx)
	})
	return complete, changes, failed
}

func TestFollowsChangesAfterReadingAll(t *testing.T) {
	complete, changes, failed := follow(t, &source{}, 0, 10500*time.Millisecond)
	assert.Equal(t, complete, 1)
	assert.Equal(t, changes, 10)
	assert.Equal(t, failed, 0)
}

func TestReadsAllAgainAfterAGap(t *testing.T) {
	complete, _, failed := follow(t, &source{gap: true}, 0, 5*time.Second)
	assert.Equal(t, complete, 2)
	assert.Equal(t, failed, 1)
}

// A source that loses its changes after every complete read was read without a
// growing pause, over ten times a second.
func TestRepeatedGapsWereReadWithoutBackoff(t *testing.T) {
	s := &source{gapAlways: true}
	follow(t, s, 0, 20*time.Second)
	assert.Assert(t, s.allCalls >= 20, "%d complete reads in 20 s", s.allCalls)
	assert.Assert(t, s.allCalls <= 60, "%d complete reads in 20 s", s.allCalls)
}

func TestRetriesAfterErrors(t *testing.T) {
	s := &source{failures: 8}
	complete, changes, failed := follow(t, s, 0, 20*time.Second)
	assert.Equal(t, failed, 8)
	assert.Equal(t, complete, 1)
	assert.Assert(t, changes > 10, "%d changes after the errors", changes)
	assert.Assert(t, s.allCalls <= 9)
}

func TestReadsKeepMinimumInterval(t *testing.T) {
	s := &source{}
	follow(t, s, 2500*time.Millisecond, 25*time.Second)
	assert.Assert(t, s.sinceCalls >= 8 && s.sinceCalls <= 10, "%d reads in 25 s", s.sinceCalls)
}

// A follower that need not read reads nothing, and goes on at the position that is known
// without it: a read from an earlier one returned the history again.
func TestReadsOnlyWhatIsNotKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithTimeout(t.Context(), 10*time.Second)
		defer stop()
		began := time.Now()
		s := &source{}
		var reads []Read
		f := Follower[string]{
			Source: s,
			Wait:   func() time.Duration { return 0 },
			Due:    func() bool { return time.Since(began) >= 5*time.Second && len(reads) < 3 },
			Known:  func() Position { return Position{Offset: 500} },
			Sink: Sink[string]{
				OnSnapshot: func([]Item[string], Position) {}, OnChanges: func([]Item[string]) {},
				OnRead: func(r Read) { reads = append(reads, r) },
			},
		}
		f.Run(ctx)
		assert.Equal(t, s.allCalls, 1)
		assert.Equal(t, s.sinceCalls, 2)
		assert.Assert(t, reads[0].Complete && reads[0].Next.Offset == 10)
		assert.Assert(t, !reads[1].Complete && reads[1].From.Offset == 500 && reads[1].Next.Offset == 501)
		assert.Equal(t, reads[2].From.Offset, uint64(501))
	})
}
