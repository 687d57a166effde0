package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// readLimit bounds the entries of one read.
	readLimit = 512
	// readSlack is how long an answer may take beyond the wait.
	readSlack = 3 * time.Second
	// Reads that fail are tried again after readRetryMin, then twice as
	// late each time up to readRetryMax.
	readRetryMin = 100 * time.Millisecond
	readRetryMax = time.Second
)

// errNoSnapshot is returned when expired records are needed and no usable
// snapshot is in the log.
var errNoSnapshot = errors.New("records have expired and there is no usable snapshot")

// errLogBack is returned when the log ends before what was folded from it.
var errLogBack = errors.New("the log has lost records that were folded")

// tailLoop starts the replica up and follows the stream.
func (r *Replica) tailLoop(ctx context.Context) {
	delay := readRetryMin
	wait := time.Duration(0) // the first answer after a failure comes at once
	for ctx.Err() == nil {
		err := r.tailOnce(ctx, wait)
		if r.Status().Err != nil {
			return
		}
		if err == nil {
			delay = readRetryMin
			wait = r.cfg.Wait
			continue
		}
		wait = 0
		r.tailFailed(ctx, err)
		sleep(ctx, delay)
		delay = min(2*delay, readRetryMax)
	}
}

func (r *Replica) tailOnce(ctx context.Context, wait time.Duration) error {
	r.mu.Lock()
	started := r.started
	r.mu.Unlock()
	if !started {
		if err := r.load(ctx, 0); err != nil {
			return err
		}
		wait = 0
	}
	_, err := r.readOn(ctx, wait)
	var gap *gapError
	if errors.As(err, &gap) {
		return r.load(ctx, gap.oldest)
	}
	return err
}

// gapError is a read that found the wanted records expired.
type gapError struct{ wanted, oldest Offset }

// Error describes the gap.
func (e *gapError) Error() string {
	return errors.Errorf("want offset %d, oldest kept is %d", e.wanted, e.oldest).Error()
}

// readOn reads once from the first offset not folded and takes it in. It
// reports whether the end of the stream is reached.
func (r *Replica) readOn(ctx context.Context, wait time.Duration) (atEnd bool, err error) {
	from := r.Status().Next
	sent := time.Now()
	page, err := r.read(ctx, r.cfg.Stream, from, readLimit, wait)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.Next < from {
		return false, errors.Wrapf(errLogBack, "next %d, folded up to %d", page.Next, from)
	}
	r.logAnswered()
	if page.Oldest > r.next {
		return false, &gapError{wanted: r.next, oldest: page.Oldest}
	}
	if err := r.fold(page.Entries); err != nil {
		return false, err
	}
	r.confirm(page.Next, sent)
	return r.next >= page.Next, nil
}

// catchUp reads up to the present end of the stream.
func (r *Replica) catchUp(ctx context.Context) error {
	for {
		atEnd, err := r.readOn(ctx, 0)
		if err != nil || atEnd {
			return err
		}
	}
}

func (r *Replica) read(ctx context.Context, s Stream, from Offset, limit int, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	return r.cfg.Log.Read(ctx, s, from, limit, wait)
}

// load takes the newest usable snapshot, or starts from the first record if
// that is still kept. oldest is the oldest offset of the stream as known.
func (r *Replica) load(ctx context.Context, oldest Offset) error {
	if oldest > 0 {
		r.events.Emit(eventGap, "next", r.Status().Next, "oldest", oldest)
	}
	page, err := r.read(ctx, r.cfg.Stream, 0, 1, 0)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.logAnswered()
	r.mu.Unlock()
	adopted, err := r.adoptNewest(ctx, page.Oldest)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !adopted && page.Oldest > r.next {
		return errNoSnapshot
	}
	r.needState = false
	r.start()
	return nil
}

// logAnswered notes an answer of the log. The caller holds mu.
func (r *Replica) logAnswered() {
	r.logAt = time.Now()
	if !r.logDown {
		return
	}
	r.logDown = false
	r.events.Emit(eventLogUp, "next", r.next)
	r.notify()
}

// tailFailed notes that the stream can't be followed from the log.
func (r *Replica) tailFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, errNoSnapshot) {
		if !r.needState {
			r.needState = true
			r.events.Emit(eventNoSnapshot, "next", r.next)
		}
		return
	}
	if !r.logDown {
		r.logDown = true
		r.events.Emit(eventLogDown, "next", r.next, "err", err)
		r.notify()
	}
	cause := errors.Wrap(ErrNotAppended, err.Error())
	if !r.started {
		r.settleAll(cause)
		return
	}
	r.settleUnsent(cause)
}
