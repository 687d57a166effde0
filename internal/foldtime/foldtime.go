// Package foldtime derives a clock from the records of a stream. All daemons that
// fold the same prefix of the stream compute the same time. The time never
// decreases, and a minority of authors with wrong clocks cannot distort it.
package foldtime

import (
	"slices"
	"sort"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// MinAuthors is the number of authors required to compute a time.
	MinAuthors = 3
	// AuthorSpan is the number of records after which an author that has
	// written none of them is dropped.
	AuthorSpan = 1024
	// computeEvery is the number of records between computations of the time
	// if there are more than computeAlwaysUpTo authors. Otherwise the time is
	// computed at each record.
	computeEvery      = 16
	computeAlwaysUpTo = 16
)

// Author is the latest time reported by one author.
type Author struct {
	ID        fleet.DaemonID `cbor:"1,keyasint"`
	UnixMilli int64          `cbor:"2,keyasint"`
	Sequence  uint64         `cbor:"3,keyasint"` // of the author's latest record
}

// State is the serializable state of a Clock. It depends only on the records
// observed.
type State struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Milli    int64    `cbor:"2,keyasint"`
	Authors  []Author `cbor:"3,keyasint"` // sorted by id
}

// Clock computes the time of a fold: the lower median of the latest times of its
// recent authors. The zero value is ready to use. It is not safe for concurrent
// use.
type Clock struct {
	sequence uint64
	milli    int64
	authors  map[fleet.DaemonID]Author
}

// Observe adds the author and the time of one record. It reports whether the
// clock's time changed.
func (c *Clock) Observe(author fleet.DaemonID, unixMilli int64) bool {
	if c.authors == nil {
		c.authors = map[fleet.DaemonID]Author{}
	}
	c.sequence++
	a := c.authors[author]
	a.ID = author
	a.UnixMilli = max(a.UnixMilli, unixMilli)
	a.Sequence = c.sequence
	c.authors[author] = a
	if len(c.authors) > computeAlwaysUpTo && c.sequence%computeEvery != 0 {
		return false
	}
	c.expireAuthors()
	return c.compute()
}

// Milli returns the time in Unix milliseconds, or zero if it is unknown.
func (c *Clock) Milli() int64 { return c.milli }

// expireAuthors drops the authors without a record among the last AuthorSpan.
func (c *Clock) expireAuthors() {
	if c.sequence <= AuthorSpan {
		return
	}
	for id, a := range c.authors {
		if a.Sequence < c.sequence-AuthorSpan {
			delete(c.authors, id)
		}
	}
}

func (c *Clock) compute() bool {
	if len(c.authors) < MinAuthors {
		return false
	}
	times := make([]int64, 0, len(c.authors))
	for _, a := range c.authors {
		times = append(times, a.UnixMilli)
	}
	slices.Sort(times)
	median := times[(len(times)-1)/2]
	if median <= c.milli {
		return false
	}
	c.milli = median
	return true
}

// State returns the state of the clock.
func (c *Clock) State() State {
	s := State{Sequence: c.sequence, Milli: c.milli}
	for _, a := range c.authors {
		s.Authors = append(s.Authors, a)
	}
	sort.Slice(s.Authors, func(i, j int) bool { return s.Authors[i].ID < s.Authors[j].ID })
	return s
}

// Restore replaces the state of the clock.
func (c *Clock) Restore(s State) {
	c.sequence = s.Sequence
	c.milli = s.Milli
	c.authors = make(map[fleet.DaemonID]Author, len(s.Authors))
	for _, a := range s.Authors {
		c.authors[a.ID] = a
	}
}
