package routes

import "sync/atomic"

// Book holds the latest document received. It is safe for concurrent use.
type Book struct {
	table atomic.Pointer[Table]
}

// Offer installs a document if its version is greater than that of the current
// one, and reports whether it did.
func (b *Book) Offer(d *Document) bool {
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
func (b *Book) Table() *Table { return b.table.Load() }
