//go:build !race

package site

const underRace = false
