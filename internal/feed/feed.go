// Package feed follows a source of keyed values: it reads the newest value of
// each key and then the changes, and recovers from errors and gaps.
package feed

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ErrGap means that changes were lost, so that all values must be read again.
var ErrGap = errors.New("changes were lost")

// Position is the position of a change in a source. Positions grow with each change.
type Position struct {
	// Era counts how often the source has come back from an older copy of itself, after
	// which it gives out offsets again. It is zero for a source that does not say.
	Era uint64
	// Offset is the number of the change within the era.
	Offset uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Next returns the position that follows p in its era.
func (p Position) Next() Position { return Position{p.Era, p.Offset + 1} }

// String returns the offset, and the era if there is one.
func (p Position) String() string {
	if p.Era == 0 {
		return strconv.FormatUint(p.Offset, 10)
	}
	return fmt.Sprintf("%d/%d", p.Era, p.Offset)
}

// later returns the later one of two positions.
func later(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// Item is the newest value of a key, or its deletion, whose value holds what the key alone
// tells. An item without a key tells of a complete read as a whole.
type Item[T any] struct {
	Key   string
	Value T
	// Position is the position of the change in the source.
	Position Position
	Deleted  bool
	// Age is the time since the value was read, if another daemon read it.
	Age time.Duration
	// Read is the transfer with which the value was read.
	Read Transfer
	// Err is set if the value could not be decoded; Value is zero then.
	Err error
}

// Transfer tells how large the answer of a source was and how long its parts took.
type Transfer struct {
	Bytes int
	// Head is the time from the request to the beginning of the answer, and Body that
	// from there to its end.
	Head, Body time.Duration
}

// Source is a source of keyed values. That it has come back from an older copy of itself
// is a gap: later reads of all values may lack changes that were read before.
type Source[T any] interface {
	// All returns the newest value of each key and the position to continue at.
	All(ctx context.Context) ([]Item[T], Position, error)
	// Since returns the changes starting at position from, and the next
	// position. If there are none, it waits up to wait. It returns ErrGap if
	// changes were lost.
	Since(ctx context.Context, from Position, wait time.Duration) ([]Item[T], Position, error)
}

// Sink receives what a Follower reads. Its methods are not called concurrently.
type Sink[T any] struct {
	// OnSnapshot receives a complete read, which includes all changes before the
	// position next. OnChanges receives the changes after it.
	OnSnapshot func(items []Item[T], next Position)
	OnChanges  func(items []Item[T])
	// OnRead is called after each successful read, and after the methods above, and
	// OnError after each error; both may be nil.
	OnRead  func(r Read)
	OnError func(err error)
}

// Read is a successful read.
type Read struct {
	// Complete is set for a read of all values, which From is not known of. Otherwise
	// the read returned the changes from position From on. Next is the position that
	// follows.
	Complete   bool
	From, Next Position
	// At is when the read ended. AsOf is a time at which the source certainly ended
	// at Next or later, before At.
	At, AsOf time.Time
}

// Follower keeps a sink up to date with a source.
type Follower[T any] struct {
	Source Source[T]
	Sink   Sink[T]
	// MinInterval returns the minimum time between the starts of two reads, for
	// sources whose changes need not be read one by one; nil for no minimum.
	MinInterval func() time.Duration
	// MaxWait is how long one read may wait for a change, and Wait, if set, returns
	// it for the next read.
	MaxWait time.Duration
	Wait    func() time.Duration
	// MaxBackoff is the longest pause after an error, maxBackoff if zero.
	MaxBackoff time.Duration
	// Due, if set, reports whether changes should be read now. It is called every
	// DueInterval.
	Due func() bool
	// Known, if set, returns a position up to which the changes are known without a
	// read of this follower. If it is later, the next read starts there.
	Known func() Position
}

// DueInterval is how often a follower checks whether the next read may
// start. The interval may change in the meantime.
const DueInterval = 100 * time.Millisecond

// Backoff after errors: it starts at MinBackoff and doubles up to maxBackoff, or to
// Follower.MaxBackoff.
// Each pause is shortened by up to half, so that daemons do not retry at the
// same time.
const (
	MinBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Run follows the source until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	var position Position
	synced := false
	backoff, longest := MinBackoff, cmp.Or(f.MaxBackoff, maxBackoff)
	for ctx.Err() == nil {
		following := synced
		if following {
			f.waitUntilDue(ctx)
			if f.Known != nil {
				position = later(position, f.Known())
			}
			if ctx.Err() != nil {
				return
			}
		}
		read := Read{Complete: !following, From: position}
		began := time.Now()
		var err error
		if !following {
			read.AsOf = began
			read.Next, err = f.readAll(ctx)
			synced = err == nil
		} else {
			read.Next, read.AsOf, err = f.readChanges(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		position = read.Next
		if err != nil {
			if errors.Is(err, ErrGap) {
				synced = false
			}
			f.reportError(err)
			f.sleep(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, longest)
			continue
		}
		if following { // a gap may follow each complete read
			backoff = MinBackoff
		}
		if f.Sink.OnRead != nil {
			read.At = time.Now()
			f.Sink.OnRead(read)
		}
		f.waitInterval(ctx, began)
	}
}

// waitInterval waits until MinInterval has passed since began. The result of
// MinInterval may change in the meantime.
func (f *Follower[T]) waitInterval(ctx context.Context, began time.Time) {
	for f.MinInterval != nil && ctx.Err() == nil {
		left := f.MinInterval() - time.Since(began)
		if left <= 0 {
			return
		}
		f.sleep(ctx, min(left, DueInterval))
	}
}

func (f *Follower[T]) readAll(ctx context.Context) (Position, error) {
	items, next, err := f.Source.All(ctx)
	if err != nil {
		return Position{}, err
	}
	f.Sink.OnSnapshot(items, next)
	return next, nil
}

// readChanges reads the changes from a position on. It returns the next position and
// a time at which the source certainly ended there or later.
func (f *Follower[T]) readChanges(ctx context.Context, from Position) (next Position, asOf time.Time, err error) {
	wait := f.MaxWait
	if f.Wait != nil {
		wait = f.Wait()
	}
	began := time.Now()
	items, next, err := f.Source.Since(ctx, from, wait)
	if err != nil {
		return from, began, err
	}
	if len(items) > 0 {
		f.Sink.OnChanges(items)
	}
	if next == from && time.Since(began) >= wait {
		return next, began.Add(wait), nil // the source had waited that long for a change
	}
	return next, began, nil
}

func (f *Follower[T]) waitUntilDue(ctx context.Context) {
	for f.Due != nil && ctx.Err() == nil && !f.Due() {
		f.sleep(ctx, DueInterval)
	}
}

func (f *Follower[T]) reportError(err error) {
	if f.Sink.OnError != nil {
		f.Sink.OnError(err)
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
