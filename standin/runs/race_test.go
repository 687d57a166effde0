//go:build race

package runs

// underRace limits each seed to one thread: the race detector's runtime crashes
// when two threads run timers of one synctest bubble.
const underRace = true
