package journal

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// readLimit is the maximum number of entries of one read.
	readLimit = 512
	// readSlack is the time a read may take in addition to its wait.
	readSlack = 3 * time.Second
	// readRetryMin is the first backoff after a failed read. The backoff
	// doubles up to readRetryMax.
	readRetryMin = 100 * time.Millisecond
	readRetryMax = time.Second
)

// errNoSnapshot is returned when required records have expired and the log has
// no usable snapshot.
var errNoSnapshot = errors.New("records have expired and the log has no usable snapshot")

// errLogTruncated is returned when the log ends before the folded prefix.
var errLogTruncated = errors.New("the log has lost records that were folded")

// tailLoop starts the replica and follows the stream until ctx ends or the
// replica stops.
func (r *Replica) tailLoop(ctx context.Context) {
	delay := readRetryMin
	// No long poll until a read has succeeded: the first response after a failure
	// must arrive immediately.
	wait := time.Duration(0)
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
		r.handleTailError(ctx, err)
		sleep(ctx, delay)
		delay = min(2*delay, readRetryMax)
	}
}

// tailOnce loads a state if the replica has not started, then reads once.
func (r *Replica) tailOnce(ctx context.Context, wait time.Duration) error {
	r.mu.Lock()
	started := r.started
	r.mu.Unlock()
	if !started {
		if err := r.loadState(ctx, 0); err != nil {
			return err
		}
		wait = 0
	}
	_, err := r.readOnce(ctx, wait)
	var gap *gapError
	if errors.As(err, &gap) {
		return r.loadState(ctx, gap.oldest)
	}
	return err
}

// gapError reports that the next records to fold have expired.
type gapError struct{ wanted, oldest Offset }

// Error implements error.
func (e *gapError) Error() string {
	return errors.Errorf("offset %d has expired, the oldest in the log is %d", e.wanted, e.oldest).Error()
}

// readOnce reads once from the first offset that is not folded and folds the
// result. It reports whether the replica has reached the end of the stream.
func (r *Replica) readOnce(ctx context.Context, wait time.Duration) (atEnd bool, err error) {
	from := r.Status().Next
	sent := time.Now()
	page, err := r.read(ctx, r.cfg.Stream, from, readLimit, wait)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.Next < from {
		return false, errors.Wrapf(errLogTruncated, "next %d, folded up to %d", page.Next, from)
	}
	r.recordLogResponse()
	if page.Oldest > r.next {
		return false, &gapError{wanted: r.next, oldest: page.Oldest}
	}
	if err := r.fold(page.Entries); err != nil {
		return false, err
	}
	r.confirm(page.Next, sent)
	return r.next >= page.Next, nil
}

// catchUp reads until the end of the stream.
func (r *Replica) catchUp(ctx context.Context) error {
	for {
		atEnd, err := r.readOnce(ctx, 0)
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

// loadState adopts the newest usable snapshot. Without one, the replica starts
// from the first record if the log still has it. oldest is the oldest offset of
// the stream after a gap, and zero otherwise.
func (r *Replica) loadState(ctx context.Context, oldest Offset) error {
	if oldest > 0 {
		r.events.Emit(eventGap, "next", r.Status().Next, "oldest", oldest)
	}
	page, err := r.read(ctx, r.cfg.Stream, 0, 1, 0)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.recordLogResponse()
	r.mu.Unlock()
	adopted, err := r.adoptNewestSnapshot(ctx, page.Oldest)
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

// recordLogResponse records that the log has responded. The caller holds mu.
func (r *Replica) recordLogResponse() {
	r.lastLogResponse = time.Now()
	if !r.logUnavailable {
		return
	}
	r.logUnavailable = false
	r.events.Emit(eventLogUp, "next", r.next)
	r.notify()
}

// handleTailError records a failure to follow the stream and settles the
// proposals that cannot be appended.
func (r *Replica) handleTailError(ctx context.Context, err error) {
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
	if !r.logUnavailable {
		r.logUnavailable = true
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
