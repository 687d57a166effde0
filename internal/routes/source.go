package routes

import "sync/atomic"

// Book holds the newest document that was seen. Versions only grow. It is
// safe for concurrent use.
type Book struct {
	table atomic.Pointer[Table]
}

// Offer takes a document into force if it is newer than the one that is.
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

// Table returns the document in force, nil before there is one.
func (b *Book) Table() *Table { return b.table.Load() }
