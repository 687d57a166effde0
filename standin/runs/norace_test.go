//go:build !race

package runs

const underRace = false
