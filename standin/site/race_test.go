//go:build race

package site

// underRace leaves out most cases with many daemons, which take minutes under the race
// detector. All cases run without it.
const underRace = true
