package routing

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// PrefixBlock is the length difference, in bytes, between consecutive
	// hashed prefixes of a prompt.
	PrefixBlock = 256
	// maxPrefixGap is the number of consecutive unknown prefixes tolerated
	// before a longer known one, since cache events may be lost.
	maxPrefixGap = 2
	// prefixShards is the number of lock shards of a PrefixIndex.
	prefixShards = 16
)

// Prefixes returns the xxHash64 hashes of the prompt's prefixes of 256, 512, 768
// ... bytes (multiples of PrefixBlock), shortest first. An incomplete last block
// is ignored.
func Prefixes(prompt string) []uint64 {
	n := len(prompt) / PrefixBlock
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	digest := xxhash.New()
	for i := range hashes {
		_, _ = digest.WriteString(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		hashes[i] = digest.Sum64()
	}
	return hashes
}

// PrefixIndex tracks which prompt prefixes each group probably has in its
// cache. The index is only a hint, because cache events arrive late and may be
// lost. It is safe for concurrent use; every shard has its own lock.
type PrefixIndex struct {
	perGroup int
	shards   [prefixShards]prefixShard
}

type prefixShard struct {
	mu     sync.RWMutex
	groups map[fleet.GroupID]*prefixSet
}

// prefixSet holds the prefixes of one group. It evicts the oldest prefix once
// it is full.
type prefixSet struct {
	positions map[uint64]int // prefix to index in ring
	ring      []uint64       // prefixes in insertion order
	next      int            // index of the oldest prefix once the ring is full
}

// NewPrefixIndex returns an index that holds up to capacity prefixes for each
// group and evicts the oldest beyond that. A capacity below one is taken as one.
func NewPrefixIndex(capacity int) *PrefixIndex {
	x := &PrefixIndex{perGroup: max(capacity, 1)}
	for i := range x.shards {
		x.shards[i].groups = map[fleet.GroupID]*prefixSet{}
	}
	return x
}

// Observe records that the group cached the prefix, or evicted it.
func (x *PrefixIndex) Observe(group fleet.GroupID, prefix uint64, evicted bool) {
	s := x.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.groups[group]
	if set == nil {
		if evicted {
			return
		}
		set = &prefixSet{positions: map[uint64]int{}}
		s.groups[group] = set
	}
	if evicted {
		delete(set.positions, prefix)
		return
	}
	set.add(prefix, x.perGroup)
}

// Forget removes all prefixes of a group, for example when the group has been
// formed again.
func (x *PrefixIndex) Forget(group fleet.GroupID) {
	s := x.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.groups, group)
}

// Match returns how many of the prefixes, ordered shortest first, the group
// probably has cached: the one-based position of the longest known prefix, or
// zero if none is known.
func (x *PrefixIndex) Match(group fleet.GroupID, prefixes []uint64) int {
	s := x.shard(group)
	s.mu.RLock()
	defer s.mu.RUnlock()
	set := s.groups[group]
	if set == nil {
		return 0
	}
	longest := 0
	for i, prefix := range prefixes {
		if _, ok := set.positions[prefix]; ok {
			longest = i + 1
		}
		if i+1-longest > maxPrefixGap {
			break
		}
	}
	return longest
}

// shard returns the shard that holds the group's prefixes.
func (x *PrefixIndex) shard(group fleet.GroupID) *prefixShard {
	return &x.shards[xxhash.Sum64String(string(group))%prefixShards]
}

// add records a prefix and evicts the oldest one if the ring has limit entries.
func (s *prefixSet) add(prefix uint64, limit int) {
	if _, ok := s.positions[prefix]; ok {
		return
	}
	if len(s.ring) < limit {
		s.positions[prefix] = len(s.ring)
		s.ring = append(s.ring, prefix)
		return
	}
	oldest := s.ring[s.next]
	if position, ok := s.positions[oldest]; ok && position == s.next {
		delete(s.positions, oldest)
	}
	s.positions[prefix] = s.next
	s.ring[s.next] = prefix
	s.next = (s.next + 1) % limit
}
