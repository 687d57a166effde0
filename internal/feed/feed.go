// Package feed follows a source that tells the newest value of each key and
// then the changes, through failures and gaps of the source.
package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
)

// ErrGap tells that changes were lost: everything has to be read again.
var ErrGap = errors.New("changes were lost")

// errWoken ends a read that was woken.
var errWoken = errors.New("woken")

// Item is the newest value of a key, or the news that the key was dropped.
type Item[T any] struct {
	Key   string
	Value T
	// Position is that of the change in the source.
	Position uint64
	Dropped  bool
	// Age is how long ago it was read, where another daemon has read it.
	Age time.Duration
	// Err says why the value can't be read; Value is zero then.
	Err error
}

// Source is what is followed. Positions grow with each change.
type Source[T any] interface {
	// All returns the newest value of each key, and where to read on.
	All(ctx context.Context) ([]Item[T], uint64, error)
	// Since returns the changes from a position on and the next position. It
	// waits up to wait for one.
	Since(ctx context.Context, from uint64, wait time.Duration) ([]Item[T], uint64, error)
}

// Sink takes what a Follower reads. Its methods are called one at a time.
type Sink[T any] struct {
	// All takes a whole reading, which has all changes before the position next,
	// Changes what came after it.
	All     func(items []Item[T], next uint64)
	Changes func(items []Item[T])
	// Read is told of each answer of the source, Failed of each error; nil
	// for not interested.
	Read   func(at time.Time)
	Failed func(err error)
}

// Follower keeps up with a source.
type Follower[T any] struct {
	Source Source[T]
	Sink   Sink[T]
	// Every is the least time between the starts of two reads, for sources
	// whose every change is not worth a call.
	Every func() time.Duration
	// Wait is how long one read may wait for a change.
	Wait func() time.Duration
	// Wake ends a read that waits, since there should be a change that it has
	// not told of; nil for never.
	Wake <-chan struct{}
}

// paceEvery is the time between two looks at whether a read is due.
const paceEvery = 100 * time.Millisecond

// Pauses after errors: the first one, doubled up to the longest. Each is cut
// short by up to half so that daemons do not return together.
const (
	firstPause   = 100 * time.Millisecond
	longestPause = 800 * time.Millisecond
)

// Run follows the source until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var position uint64
	whole := false
	pause := firstPause
	for ctx.Err() == nil {
		began := time.Now()
		var err error
		if !whole {
			position, err = f.readAll(ctx)
			whole = err == nil
		} else {
			position, err = f.readChanges(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if errors.Is(err, ErrGap) {
				whole = false
			}
			f.failed(err)
			f.sleep(ctx, pause/2+rand.N(pause/2))
			pause = min(2*pause, longestPause)
			continue
		}
		pause = firstPause
		if f.Sink.Read != nil {
			f.Sink.Read(time.Now())
		}
		f.pace(ctx, began)
	}
}

// pace waits until the next read is due. What Every says may change meanwhile.
func (f *Follower[T]) pace(ctx context.Context, began time.Time) {
	for f.Every != nil && ctx.Err() == nil {
		left := f.Every() - time.Since(began)
		if left <= 0 {
			return
		}
		f.sleep(ctx, min(left, paceEvery))
	}
}

func (f *Follower[T]) readAll(ctx context.Context) (uint64, error) {
	items, next, err := f.Source.All(ctx)
	if err != nil {
		return 0, err
	}
	f.Sink.All(items, next)
	return next, nil
}

func (f *Follower[T]) readChanges(ctx context.Context, from uint64) (uint64, error) {
	items, next, err := f.read(ctx, from)
	if err != nil {
		return from, err
	}
	if len(items) > 0 {
		f.Sink.Changes(items)
	}
	return next, nil
}

// read waits for changes until it is woken: what has happened until then it
// brings without a wait.
func (f *Follower[T]) read(ctx context.Context, from uint64) ([]Item[T], uint64, error) {
	waiting, end := context.WithCancelCause(ctx)
	defer end(nil)
	if f.Wake != nil {
		go func() {
			select {
			case <-f.Wake:
				end(errWoken)
			case <-waiting.Done():
			}
		}()
	}
	items, next, err := f.Source.Since(waiting, from, f.Wait())
	if err != nil && context.Cause(waiting) == errWoken {
		return f.Source.Since(ctx, from, 0)
	}
	return items, next, err
}

func (f *Follower[T]) failed(err error) {
	if f.Sink.Failed != nil {
		f.Sink.Failed(err)
	}
}

func (f *Follower[T]) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
