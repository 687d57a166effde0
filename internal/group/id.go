package group

import (
	"strconv"
	"strings"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/lease"
)

// IDMark is the part of a group id that grows within a scope. Ids of one
// scope are given out in the order of their marks, so the last mark alone
// tells which ids were used before.
type IDMark struct {
	Term    lease.Term `cbor:"1,keyasint"`
	Counter uint64     `cbor:"2,keyasint"`
}

// Less reports whether m was given out before o.
func (m IDMark) Less(o IDMark) bool {
	if m.Term != o.Term {
		return m.Term < o.Term
	}
	return m.Counter < o.Counter
}

// FormatID makes the id of the group that a scope's holder forms as the
// counter-th of its term: "<scope>.<term>.<counter>".
func FormatID(scope lease.Scope, m IDMark) fleet.GroupID {
	term := strconv.FormatUint(uint64(m.Term), 10)
	counter := strconv.FormatUint(m.Counter, 10)
	return fleet.GroupID(string(scope) + "." + term + "." + counter)
}

// ParseID takes an id apart; ok is false unless FormatID gives it back.
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

// NextID returns the next free mark of a scope for a holder of the term.
func (v *View) NextID(scope lease.Scope, term lease.Term) IDMark {
	last := v.Issued[scope]
	if last.Term != term {
		return IDMark{Term: term, Counter: 1}
	}
	return IDMark{Term: term, Counter: last.Counter + 1}
}
