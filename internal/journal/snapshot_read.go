package journal

import (
	"context"

	"github.com/pkg/errors"
)

// snapshotReadLimit is how many records of the snapshot stream are read at a
// time, from the newest backwards.
const snapshotReadLimit = 32

// adoptNewest adopts the newest usable snapshot that reaches the offset need
// and reports whether the replica is at least that far after it.
func (r *Replica) adoptNewest(ctx context.Context, need Offset) (bool, error) {
	page, err := r.read(ctx, StreamSnapshot, 0, 1, 0)
	if err != nil {
		return false, err
	}
	found := map[RecordID]*assembly{}
	for end := page.Next; end > page.Oldest; {
		from := page.Oldest
		if end-from > snapshotReadLimit {
			from = end - snapshotReadLimit
		}
		part, err := r.readRange(ctx, from, end)
		if err != nil {
			return false, err
		}
		for i := len(part) - 1; i >= 0; i-- {
			if s, ok := r.gather(found, part[i]); ok && s.Next >= need && r.tryAdopt(s) {
				return true, nil
			}
		}
		end = from
	}
	return false, nil
}

// readRange reads the snapshot stream's records of [from, end). Records that
// expire meanwhile are left out.
func (r *Replica) readRange(ctx context.Context, from, end Offset) ([]Entry, error) {
	var all []Entry
	for from < end {
		page, err := r.read(ctx, StreamSnapshot, from, int(end-from), 0)
		if err != nil {
			return nil, err
		}
		if page.Oldest > from {
			from = page.Oldest
			continue
		}
		if len(page.Entries) == 0 {
			return all, nil
		}
		all = append(all, page.Entries...)
		from += Offset(len(page.Entries))
	}
	return all, nil
}

// gather returns the state that an entry of the snapshot stream completes.
func (r *Replica) gather(found map[RecordID]*assembly, e Entry) (State, bool) {
	c, err := decodeChunk(e.Payload)
	if err != nil {
		r.events.Emit(eventBadSnapshot, "offset", e.Offset, "err", err)
		return State{}, false
	}
	if c.Stream != r.cfg.Stream {
		return State{}, false
	}
	a := found[c.Snapshot]
	if a == nil {
		a = &assembly{}
		found[c.Snapshot] = a
	}
	return a.add(c)
}

// tryAdopt reports whether the replica is at least as far as s afterwards.
func (r *Replica) tryAdopt(s State) bool {
	err := r.Adopt(s)
	if errors.Is(err, ErrBadState) {
		r.events.Emit(eventBadSnapshot, "next", s.Next, "err", err)
	}
	return err == nil
}
