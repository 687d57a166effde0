package edge

import (
	"time"

	"github.com/pkg/errors"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/feed"
)

// What a change in the store takes to reach a daemon without a reader that tells of it.
const (
	// readerPollTimeout and documentPollTimeout are the long-poll durations of a reader.
	// The end of a poll shows as of when it is current.
	readerPollTimeout   = 400 * time.Millisecond
	documentPollTimeout = 400 * time.Millisecond
	// maxReaderAge is the age of its last read up to which a daemon says that it reads for
	// others. It exceeds the age at which a reader's position usually arrives: that of its
	// long poll and of its heartbeat.
	maxReaderAge = 1150 * time.Millisecond
	// minPatience is the least maximum age of what a daemon knows without reading: that of
	// a long poll that has just ended.
	minPatience = max(readerPollTimeout, documentPollTimeout) + slowRead
	// changePatience is how long a daemon that knows of a newer document waits for its
	// broadcast: two hops of the gossip, a fifth of a heartbeat interval each, and the
	// transfer.
	changePatience = 400 * time.Millisecond
	// smallDocumentBytes is the length of a document that all daemons may read from the
	// store at once. A larger one they read one after another, within maxStagger.
	smallDocumentBytes = 64 << 10
	maxStagger         = time.Second
	// StoreReadMargin is how long a read of the store may take beyond the time for which
	// it waits for a change.
	StoreReadMargin = 400 * time.Millisecond
	// slowRead is the time that a read takes at a slow store.
	slowRead = 100 * time.Millisecond
)

// rereadDelay is the longest time that a daemon takes to read once it is due to, if the
// answer of its first read is lost, and latestDelay the same up to the arrival of the last
// request that was sent by the old state.
const (
	rereadDelay = feed.DueInterval + StoreReadMargin + feed.MinBackoff + slowRead
	latestDelay = rereadDelay + directory.RequestWay
)

// The same for a large document, which daemons read one after another unless a broadcast
// brings it: the end of the store's records is read first.
const (
	// largeDocumentBytes is the length of a document of 2,000 routes, encoded as a read of
	// the newest records returns it. Such a read has half of the thinnest link, 20 Mbit/s,
	// and a share of the rate that all reads of the store have, 80 MB/s, with as many
	// others as maxStagger leaves beside it.
	largeDocumentBytes       = 600e3
	largeDocumentRead        = largeDocumentBytes*time.Second/(20e6/8/2) + slowRead
	latestLargeDocumentDelay = rereadDelay + changePatience + maxStagger + largeDocumentRead + directory.RequestWay
	// leastForLarge is the patience for a document that may be large where the bound leaves
	// less: the age at which a reader's news usually arrives. Daemons that read such a
	// document more often delay each other's reads.
	leastForLarge = maxReaderAge
)

// budget divides the bounds that the operators specify among the steps by which a change
// in the store takes effect without a reader that tells of it. The steps after the
// patience take as long whatever the bound is, so that a longer bound saves reads.
type budget struct {
	// leavingBound is how long after its entry says that it leaves, or is removed, a
	// server may still get requests.
	leavingBound time.Duration
	// listPatience, documentPatience and largeDocumentPatience are the maximum ages of
	// what a daemon knows without reading: the list, the routing document, and a routing
	// document of more than smallDocumentBytes. DocumentPatience leaves the time to read a
	// version that has become large, if the bound is long enough.
	listPatience, documentPatience, largeDocumentPatience time.Duration
}

// newBudget returns the budget for the bounds within which a server that leaves may still
// get requests, an earlier version of the routing document may still be used, and a zone
// that is evacuated may still get requests. Evacuations come with the document, or with the
// end of the store's records. Of a bound that can't be kept when an answer of the store is
// lost, as much is kept as can be, and shortfalls says so.
func newBudget(leavingBound, documentBound, evacuationBound time.Duration) (b budget, shortfalls []error) {
	check := func(name string, bound, needed time.Duration) {
		if bound < needed {
			shortfalls = append(shortfalls, errors.Errorf("--%s of %s: a change may take %s if an answer of the store is lost", name, bound, needed))
		}
	}
	check("leaving-bound", leavingBound, minPatience+latestDelay)
	check("document-bound", documentBound, minPatience+latestDelay)
	check("document-bound, for documents of more than 64 KiB,", documentBound, leastForLarge+latestLargeDocumentDelay)
	check("evacuation-bound", evacuationBound, leastForLarge+latestLargeDocumentDelay)
	documentBound = min(documentBound, evacuationBound)
	patienceFor := func(delay time.Duration) time.Duration {
		return max(min(max(documentBound-delay, leastForLarge), documentBound-latestDelay), minPatience)
	}
	return budget{
		leavingBound:          leavingBound,
		listPatience:          max(leavingBound-latestDelay, minPatience),
		documentPatience:      patienceFor(latestDelay + largeDocumentRead),
		largeDocumentPatience: patienceFor(latestLargeDocumentDelay),
	}, shortfalls
}

// patienceFor returns the maximum age of a routing document that a daemon knows without
// reading.
func (b budget) patienceFor(small bool) time.Duration {
	if small {
		return b.documentPatience
	}
	return b.largeDocumentPatience
}
