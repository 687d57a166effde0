package edge

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/delta"
	"carawayproxy.example/caraway/internal/feed"
)

// maxPendingDeltas bounds the deltas that wait for the version on which they are based:
// those of a storm of changes.
const maxPendingDeltas = 64

// documentReplica is this daemon's copy of the routing document: its newest version, the
// deltas of later ones that can't be applied yet, and the positions of the store up to which
// versions are known. It is safe for concurrent use.
type documentReplica struct {
	mu      sync.Mutex
	version uint64
	text    []byte
	sum     uint64
	known   feed.Position            // that follows the version in the store
	pending map[uint64]documentDelta // by the version on which they are based
	// behindSince is when this daemon first knew of a version that it lacks, since it
	// last got one; zero if it knows of none.
	behindSince time.Time
	end         feed.Position // of the store's records, as far as it is known
	stagger     time.Duration // of this daemon's reads of a large document
}

// recordVersion records a version that was read at a position. It returns the delta that
// leads to it, nil if it is not newer.
func (r *documentReplica) recordVersion(d StoredDocument, at feed.Position) (*documentDelta, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Version <= r.version {
		return nil, nil
	}
	c := documentDelta{
		Version: d.Version, Base: r.version, BaseSum: r.sum, Sum: xxhash.Sum64(d.Text), Bytes: uint64(len(d.Text)),
		Era: at.Era, Offset: at.Offset,
	}
	encoded, err := delta.Encode(r.text, d.Text)
	r.setVersion(d.Version, d.Text, c.Sum, at)
	if err != nil {
		return nil, err
	}
	c.Delta = encoded
	return &c, nil
}

// setVersion records a version as the present one. The caller holds mu.
func (r *documentReplica) setVersion(version uint64, text []byte, sum uint64, at feed.Position) {
	r.version, r.text, r.sum = version, text, sum
	if r.known.Before(at.Next()) {
		r.known = at.Next()
	}
	for base, c := range r.pending {
		if c.Version <= version {
			delete(r.pending, base)
		}
	}
	r.behindSince = time.Time{}
}

// addDelta records a delta that a peer has broadcast and reports whether it is new.
func (r *documentReplica) addDelta(c documentDelta) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.pending[c.Base]
	if c.Version <= r.version || known && old.Version >= c.Version || !known && len(r.pending) >= maxPendingDeltas {
		return false
	}
	if r.pending == nil {
		r.pending = map[uint64]documentDelta{}
	}
	r.pending[c.Base] = c
	return true
}

// applyDeltas applies the pending deltas that lead on from the present version, and returns
// the newest version with its text; zero and nil if there is none. A delta that does not fit
// is dropped, with an error.
func (r *documentReplica) applyDeltas() (version uint64, text []byte, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version, text, sum := r.version, r.text, r.sum
	var at feed.Position
	for {
		c, ok := r.pending[version]
		if !ok {
			break
		}
		delete(r.pending, version)
		if c.BaseSum != sum {
			err = errors.Errorf("version %d of the routing document is based on another text of version %d", c.Version, c.Base)
			break
		}
		next, decodeErr := delta.Decode(text, c.Delta, int(c.Bytes))
		if decodeErr == nil && xxhash.Sum64(next) != c.Sum {
			decodeErr = errors.New("its text has another sum")
		}
		if decodeErr != nil {
			err = errors.Wrapf(decodeErr, "version %d of the routing document", c.Version)
			break
		}
		version, text, sum, at = c.Version, next, c.Sum, c.position()
	}
	if version == r.version {
		return 0, nil, err
	}
	r.setVersion(version, text, sum, at)
	return version, text, err
}

// recordRead records that all versions before a position were read.
func (r *documentReplica) recordRead(next feed.Position, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known.Before(next) {
		r.known = next
	}
	r.updateBehind(now, false)
}

// recordEnd records the end of the store's records at a time.
func (r *documentReplica) recordEnd(end feed.Position, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.end.Before(end) {
		r.end = end
	}
	r.updateBehind(now, false)
}

// recordPeers records the highest version that peers have.
func (r *documentReplica) recordPeers(newest uint64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.updateBehind(now, newest > r.version)
}

// updateBehind updates behindSince. The caller holds mu.
func (r *documentReplica) updateBehind(now time.Time, newerAtPeers bool) {
	switch {
	case !newerAtPeers && !r.known.Before(r.end) && len(r.pending) == 0:
		r.behindSince = time.Time{}
	case r.behindSince.IsZero():
		r.behindSince = now
	}
}

// behindFor returns for how long this daemon has known that there is a version that it
// lacks, zero if it knows of none.
func (r *documentReplica) behindFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.behindSince.IsZero() {
		return 0
	}
	return max(now.Sub(r.behindSince), 1)
}

// patience returns how long a daemon that lacks a version waits for its broadcast. If the
// document is large, daemons read it one after another.
func (r *documentReplica) patience() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.text) <= smallDocumentBytes {
		return changePatience
	}
	return changePatience + r.stagger
}

// isSmall reports whether the text of the document is small enough to be read by all
// daemons at once.
func (r *documentReplica) isSmall() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.text) <= smallDocumentBytes
}

// newest returns the newest version, and the position up to which all versions are known.
func (r *documentReplica) newest() (version uint64, known feed.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.known
}

// confirm records that a peer knows of no version later than one before a position.
func (r *documentReplica) confirm(version uint64, next feed.Position, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version == 0 || version != r.version || next.Era != r.known.Era || !r.known.Before(next) {
		return
	}
	r.known = next
	r.updateBehind(now, false)
}

// knownUpTo returns the position up to which all versions are known.
func (r *documentReplica) knownUpTo() feed.Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}
