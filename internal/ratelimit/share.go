package ratelimit

import "time"

// ownerCount returns the number of daemons that share a rate. Each owner may have
// saved up one request, so their number is bounded by the rate: in any 4 s the
// server gets at most 4 x rate + owners <= 6 x rate + 2 requests, where it allows
// 6 x rate + 5.
func ownerCount(perSecond float64, daemons int) int {
	if perSecond >= float64(daemons) {
		return daemons
	}
	return min(int(2*perSecond)+2, daemons)
}

// shareOf returns the number of requests a second that the daemon at a rank in a
// server's ranking of n daemons may send to it, zero if it is no owner. The owners are consecutive in the server's
// ranking of the daemons. The longer the server has not answered any daemon, the
// later in the ranking they are, since the first ones may have no requests for it
// or may be gone.
func shareOf(a Announcement, rank, n int, now time.Time) float64 {
	if rank < 0 {
		return 0
	}
	rate := max(a.PerSecond, minRate)
	owners := ownerCount(rate, n)
	if turn := int(max(now.Sub(a.At), 0) / ownerTurn); !isOwner(rank, n, owners, turn) {
		return 0
	}
	return rate / float64(owners)
}

// isOwner reports whether the daemon at a rank in a server's ranking of n daemons is among
// the owners of the server in a turn. In each turn they are the next ones in the ranking.
func isOwner(rank, n, owners, turn int) bool {
	position := ((rank-turn*owners)%n + n) % n
	return position < owners
}
