package journal

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// StateFormat is the format of State.Data that this version reads and writes.
const StateFormat = 1

// ErrBadState is returned for a state that is corrupt, has an unknown format or
// belongs to another stream.
var ErrBadState = errors.New("unusable state")

// stateData is the content of State.Data.
type stateData struct {
	IDs  []byte `cbor:"1,keyasint"` // encoded window
	Fold []byte `cbor:"2,keyasint"`
}

// Export returns the state for a peer or a snapshot. It returns an error before
// the replica has started.
func (r *Replica) Export() (State, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.started {
		return State{}, errors.Errorf("stream %s has no state yet", r.cfg.Stream)
	}
	fold, err := r.cfg.Fold.Snapshot()
	if err != nil {
		return State{}, err
	}
	data, err := Encode(stateData{IDs: r.window.encode(), Fold: fold})
	if err != nil {
		return State{}, err
	}
	return State{
		Stream:   r.cfg.Stream,
		Next:     r.next,
		Format:   StateFormat,
		Checksum: xxhash.Sum64(data),
		Data:     data,
	}, nil
}

// Adopt replaces the state by one that is further in the stream. It ignores an
// older state without an error. A stopped replica stays stopped and returns its
// error.
func (r *Replica) Adopt(s State) error {
	if err := s.check(r.cfg.Stream); err != nil {
		return err
	}
	var data stateData
	if err := Decode(s.Data, &data); err != nil {
		return errors.Wrap(ErrBadState, err.Error())
	}
	ids, err := decodeWindow(data.IDs)
	if err != nil {
		return errors.Wrap(ErrBadState, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return r.err
	}
	if s.Next < r.next || (s.Next == r.next && r.started) {
		return nil
	}
	if err := r.cfg.Fold.Restore(data.Fold); err != nil {
		return errors.Wrap(ErrBadState, err.Error())
	}
	r.window = ids
	r.ring.clear()
	r.advance(s.Next)
	r.needState = false
	r.counts.next.Update(int64(r.next))
	r.events.Emit(eventAdopted, "next", s.Next, "bytes", len(s.Data))
	r.settleFromWindow()
	r.start()
	r.notify()
	return nil
}

func (s State) check(stream Stream) error {
	switch {
	case s.Stream != stream:
		return errors.Wrapf(ErrBadState, "state of stream %s, want %s", s.Stream, stream)
	case s.Format != StateFormat:
		return errors.Wrapf(ErrBadState, "format %d, want %d", s.Format, StateFormat)
	case xxhash.Sum64(s.Data) != s.Checksum:
		return errors.Wrap(ErrBadState, "checksum mismatch")
	}
	return nil
}
