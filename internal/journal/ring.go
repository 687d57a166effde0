package journal

const (
	// ringEntries and ringBytes limit the entries kept for peers.
	ringEntries = 1024
	ringBytes   = 1 << 20
)

// ring keeps the most recently folded entries for peers.
type ring struct {
	entries []Entry // contiguous
	bytes   int
}

func (r *ring) add(e Entry) {
	r.entries = append(r.entries, e)
	r.bytes += len(e.Payload)
	drop := 0
	for len(r.entries)-drop > ringEntries || (r.bytes > ringBytes && len(r.entries)-drop > 1) {
		r.bytes -= len(r.entries[drop].Payload)
		r.entries[drop].Payload = nil
		drop++
	}
	r.entries = r.entries[drop:]
}

func (r *ring) clear() { *r = ring{} }

// from returns up to limit entries starting at an offset, or nil if the first
// one is not kept.
func (r *ring) from(at Offset, limit int) []Entry {
	if len(r.entries) == 0 || at < r.entries[0].Offset || limit <= 0 {
		return nil
	}
	skip := at - r.entries[0].Offset
	if skip >= Offset(len(r.entries)) {
		return nil
	}
	held := r.entries[skip:]
	if len(held) > limit {
		held = held[:limit]
	}
	return append([]Entry(nil), held...)
}
