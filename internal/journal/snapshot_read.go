package journal

import (
	"context"

	"github.com/pkg/errors"
)

// snapshotReadLimit is the number of records per read of the snapshot stream,
// which is read from the newest record backwards.
const snapshotReadLimit = 32

// adoptNewestSnapshot adopts the newest usable snapshot whose next offset is at
// least need. It reports whether such a snapshot was found.
func (r *Replica) adoptNewestSnapshot(ctx context.Context, need Offset) (bool, error) {
	page, err := r.read(ctx, StreamSnapshot, 0, 1, 0)
	if err != nil {
		return false, err
	}
	assemblies := map[RecordID]*assembly{}
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
			if s, ok := r.assemble(assemblies, part[i]); ok && s.Next >= need && r.tryAdopt(s) {
				return true, nil
			}
		}
		end = from
	}
	return false, nil
}

// readRange reads the records of the snapshot stream in [from, end). It omits
// records that have expired.
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

// assemble adds an entry of the snapshot stream to its assembly and returns the
// state if the entry completes it.
func (r *Replica) assemble(assemblies map[RecordID]*assembly, e Entry) (State, bool) {
	c, err := decodeChunk(e.Payload)
	if err != nil {
		r.events.Emit(eventBadSnapshot, "offset", e.Offset, "err", err)
		return State{}, false
	}
	if c.Stream != r.cfg.Stream {
		return State{}, false
	}
	a := assemblies[c.Snapshot]
	if a == nil {
		a = &assembly{}
		assemblies[c.Snapshot] = a
	}
	return a.add(c)
}

// tryAdopt adopts s and reports whether the replica has folded at least up to
// s.Next.
func (r *Replica) tryAdopt(s State) bool {
	err := r.Adopt(s)
	if errors.Is(err, ErrBadState) {
		r.events.Emit(eventBadSnapshot, "next", s.Next, "err", err)
	}
	return err == nil
}
