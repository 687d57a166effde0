package group

import (
	"strconv"
	"strings"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/lease"
)

// IDMark is the part of a group id that increases within a scope. The ids of a
// scope are issued in the order of their marks, so the last mark is sufficient
// to detect whether an id was used before.
type IDMark struct {
	Term    lease.Term `cbor:"1,keyasint"`
	Counter uint64     `cbor:"2,keyasint"`
}

// Less reports whether m is issued before o.
func (m IDMark) Less(o IDMark) bool {
	if m.Term != o.Term {
		return m.Term < o.Term
	}
	return m.Counter < o.Counter
}

// FormatID returns the group id "<scope>.<term>.<counter>". The counter numbers
// the groups formed in a term.
func FormatID(scope lease.Scope, m IDMark) fleet.GroupID {
	term := strconv.FormatUint(uint64(m.Term), 10)
	counter := strconv.FormatUint(m.Counter, 10)
	return fleet.GroupID(string(scope) + "." + term + "." + counter)
}

// ParseID splits a group id. It returns false unless the id is exactly what
// FormatID returns for the parts.
func ParseID(id fleet.GroupID) (scope lease.Scope, m IDMark, ok bool) {
	rest, counter, ok := cutLast(string(id))
	if !ok {
		return "", IDMark{}, false
	}
	rest, term, ok := cutLast(rest)
	if !ok {
		return "", IDMark{}, false
	}
	t, errTerm := strconv.ParseUint(term, 10, 64)
	c, errCounter := strconv.ParseUint(counter, 10, 64)
	if errTerm != nil || errCounter != nil {
		return "", IDMark{}, false
	}
	scope, m = lease.Scope(rest), IDMark{Term: lease.Term(t), Counter: c}
	return scope, m, FormatID(scope, m) == id
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndexByte(s, '.')
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

// NextID returns the next unused mark of a scope for the holder of the given
// term.
func (v *View) NextID(scope lease.Scope, term lease.Term) IDMark {
	last := v.Issued[scope]
	if last.Term != term {
		return IDMark{Term: term, Counter: 1}
	}
	return IDMark{Term: term, Counter: last.Counter + 1}
}
