package journal

import "github.com/pkg/errors"

// DuplicateWindow is the number of recent record ids that a replica keeps to
// detect duplicates. It must be the same on all daemons, because verdicts
// depend on it.
const DuplicateWindow = 4096

// idBytes is the encoded size of an id and its verdict in a snapshot.
const idBytes = 17

// window keeps the ids and verdicts of the most recent records.
type window struct {
	order    []RecordID // a ring buffer once it is full
	oldest   int        // index in order
	accepted map[RecordID]bool
}

func newWindow() *window { return &window{accepted: map[RecordID]bool{}} }

// lookup returns the verdict for an id and whether the id is in the window.
func (w *window) lookup(id RecordID) (accepted, ok bool) {
	accepted, ok = w.accepted[id]
	return accepted, ok
}

func (w *window) add(id RecordID, accepted bool) {
	w.accepted[id] = accepted
	if len(w.order) < DuplicateWindow {
		w.order = append(w.order, id)
		return
	}
	delete(w.accepted, w.order[w.oldest])
	w.order[w.oldest] = id
	w.oldest = (w.oldest + 1) % DuplicateWindow
}

// encode returns the ids and their verdicts, oldest first.
func (w *window) encode() []byte {
	out := make([]byte, 0, len(w.order)*idBytes)
	for i := range w.order {
		id := w.order[(w.oldest+i)%len(w.order)]
		out = append(out, id[:]...)
		flag := byte(0)
		if w.accepted[id] {
			flag = 1
		}
		out = append(out, flag)
	}
	return out
}

func decodeWindow(data []byte) (*window, error) {
	if len(data)%idBytes != 0 || len(data)/idBytes > DuplicateWindow {
		return nil, errors.Errorf("invalid id window of %d bytes", len(data))
	}
	w := newWindow()
	for ; len(data) > 0; data = data[idBytes:] {
		w.add(RecordID(data[:idBytes-1]), data[idBytes-1] == 1)
	}
	return w, nil
}
