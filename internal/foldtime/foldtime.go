// Package foldtime derives a time from the records of a stream, so that every
// daemon that folds the same prefix agrees on it. It never runs backwards,
// and a minority of authors with wrong clocks can't move it.
package foldtime

import (
	"slices"
	"sort"

	"carawayproxy.example/caraway/internal/fleet"
)

const (
	// MinAuthors is how many authors must be known before time is told.
	MinAuthors = 3
	// AuthorSpan is how many records an author is remembered for.
	AuthorSpan = 1024
	// computeEvery is how many records lie between two computations once
	// there are many authors.
	computeEvery = 16
	fewAuthors   = 16
)

// Author is the latest that one author said.
type Author struct {
	ID        fleet.DaemonID `cbor:"1,keyasint"`
	UnixMilli int64          `cbor:"2,keyasint"`
	Sequence  uint64         `cbor:"3,keyasint"` // of its latest record
}

// State is a Clock's content, the same for the same records.
type State struct {
	Sequence uint64   `cbor:"1,keyasint"`
	Milli    int64    `cbor:"2,keyasint"`
	Authors  []Author `cbor:"3,keyasint"` // by id
}

// Clock tells the time of a fold: the lower median of its recent authors'
// latest times. The zero value is ready. It is not safe for concurrent use.
type Clock struct {
	sequence uint64
	milli    int64
	authors  map[fleet.DaemonID]Author
}

// Observe takes in one record's author and time and reports whether the
// clock moved.
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
	if len(c.authors) > fewAuthors && c.sequence%computeEvery != 0 {
		return false
	}
	c.forget()
	return c.compute()
}

// Milli returns the time in Unix milliseconds, zero while it is unknown.
func (c *Clock) Milli() int64 { return c.milli }

// forget drops the authors that have written nothing for AuthorSpan records.
func (c *Clock) forget() {
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

// State returns the clock's content.
func (c *Clock) State() State {
	s := State{Sequence: c.sequence, Milli: c.milli}
	for _, a := range c.authors {
		s.Authors = append(s.Authors, a)
	}
	sort.Slice(s.Authors, func(i, j int) bool { return s.Authors[i].ID < s.Authors[j].ID })
	return s
}

// Restore replaces the clock's content.
func (c *Clock) Restore(s State) {
	c.sequence = s.Sequence
	c.milli = s.Milli
	c.authors = make(map[fleet.DaemonID]Author, len(s.Authors))
	for _, a := range s.Authors {
		c.authors[a.ID] = a
	}
}
