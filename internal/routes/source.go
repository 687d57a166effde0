package routes

import "sync/atomic"

// CurrentDocument holds the latest document received. It is safe for concurrent use.
type CurrentDocument struct {
	table atomic.Pointer[Table]
}

// Update installs a document if its version is greater than that of the current
// one, and reports whether it did.
func (b *CurrentDocument) Update(d *Document) bool {
	next := NewTable(d)
	for {
		old := b.table.Load()
		if old != nil && old.Document.Version >= d.Version {
			return false
		}
		if b.table.CompareAndSwap(old, next) {
			return true
		}
	}
}

// Table returns the table of the current document, or nil if there is none yet.
func (b *CurrentDocument) Table() *Table { return b.table.Load() }
