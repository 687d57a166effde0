//go:build race

package runs

// underRace: the race detector's runtime crashes where two threads run timers
// of one bubble, so that each seed has one thread.
const underRace = true
