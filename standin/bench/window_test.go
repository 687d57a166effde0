package main

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestQuantileCountsSinceBefore(t *testing.T) {
	buckets := []float64{0, 0.001, 0.002, math.Inf(1)}
	for name, tc := range map[string]struct {
		counts, before []uint64
		q              float64
		want           time.Duration
	}{
		"nothing since":   {counts: []uint64{5, 5, 5}, before: []uint64{5, 5, 5}, q: 95},
		"first bucket":    {counts: []uint64{100, 5, 5}, before: []uint64{0, 1, 5}, q: 95, want: time.Millisecond},
		"second bucket":   {counts: []uint64{90, 10, 0}, before: []uint64{0, 0, 0}, q: 95, want: 2 * time.Millisecond},
		"many before":     {counts: []uint64{100, 10, 0}, before: []uint64{95, 0, 0}, q: 50, want: 2 * time.Millisecond},
		"open bucket":     {counts: []uint64{90, 0, 10}, before: []uint64{0, 0, 0}, q: 95, want: 2 * time.Millisecond},
		"half of the two": {counts: []uint64{2, 2, 0}, before: []uint64{0, 0, 0}, q: 50, want: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, quantileOf(buckets, tc.counts, tc.before, tc.q), tc.want)
		})
	}
}
