//go:build race

package site

// underRace leaves out cases that differ from others in the number of daemons or in a
// delay only, which take minutes under the race detector. All cases run without it.
const underRace = true
