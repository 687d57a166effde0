package routing

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// PrefixBlock is the step between a prompt's prefixes, in bytes.
	PrefixBlock = 256
	// prefixGap is how many prefixes in a row may be unknown within a longer
	// known one, since cache events come with gaps.
	prefixGap = 2
	// prefixShards is the number of shards of an index.
	prefixShards = 16
)

// Prefixes returns the xxHash64 of the prompt's first 256 bytes, first 512
// bytes and so on, shortest first. A last block that is not full is left out.
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

// PrefixIndex remembers which prompt prefixes groups seem to have cached. It
// is a hint: events come late and with gaps. It is safe for concurrent use;
// each shard is under its own lock.
type PrefixIndex struct {
	perGroup int
	shards   [prefixShards]prefixShard
}

type prefixShard struct {
	mu     sync.RWMutex
	groups map[fleet.GroupID]*prefixSet
}

// prefixSet holds a group's prefixes and forgets the oldest beyond its size.
type prefixSet struct {
	known map[uint64]int // place in order
	order []uint64       // ring of insertions, oldest at next once full
	next  int
}

// NewPrefixIndex returns an index that holds up to capacity prefixes of each
// group and forgets the oldest beyond. A capacity under one holds one.
func NewPrefixIndex(capacity int) *PrefixIndex {
	x := &PrefixIndex{perGroup: max(capacity, 1)}
	for i := range x.shards {
		x.shards[i].groups = map[fleet.GroupID]*prefixSet{}
	}
	return x
}

// Observe records that a group cached a prefix or evicted it.
func (x *PrefixIndex) Observe(group fleet.GroupID, prefix uint64, evicted bool) {
	s := x.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.groups[group]
	if set == nil {
		if evicted {
			return
		}
		set = &prefixSet{known: map[uint64]int{}}
		s.groups[group] = set
	}
	if evicted {
		delete(set.known, prefix)
		return
	}
	set.add(prefix, x.perGroup)
}

// Forget drops what is known of a group, as when it was formed again.
func (x *PrefixIndex) Forget(group fleet.GroupID) {
	s := x.shard(group)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.groups, group)
}

// Match returns how many of prefixes, shortest first, the group seems to have
// cached: the place of the longest known one counted from one, or zero.
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
		if _, ok := set.known[prefix]; ok {
			longest = i + 1
		}
		if i+1-longest > prefixGap {
			break
		}
	}
	return longest
}

// shard returns the shard that holds the group.
func (x *PrefixIndex) shard(group fleet.GroupID) *prefixShard {
	return &x.shards[xxhash.Sum64String(string(group))%prefixShards]
}

// add records a prefix and forgets the oldest beyond limit.
func (s *prefixSet) add(prefix uint64, limit int) {
	if _, ok := s.known[prefix]; ok {
		return
	}
	if len(s.order) < limit {
		s.known[prefix] = len(s.order)
		s.order = append(s.order, prefix)
		return
	}
	oldest := s.order[s.next]
	if place, ok := s.known[oldest]; ok && place == s.next {
		delete(s.known, oldest)
	}
	s.known[prefix] = s.next
	s.order[s.next] = prefix
	s.next = (s.next + 1) % limit
}
