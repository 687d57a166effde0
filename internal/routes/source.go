package routes

import "sync/atomic"

// CurrentDocument holds the document with the highest version received. It is
// safe for concurrent use.
type CurrentDocument struct {
	table atomic.Pointer[Table]
}

// Update installs a document if its version is greater than that of the current
// one, and reports whether it did.
func (c *CurrentDocument) Update(d *Document) bool {
	next := NewTable(d)
	for {
		old := c.table.Load()
		if old != nil && old.Document.Version >= d.Version {
			return false
		}
		if c.table.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Table returns the table of the current document, or nil if there is none yet.
func (c *CurrentDocument) Table() *Table { return c.table.Load() }
