package serving

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"carawayproxy.example/caraway/standin/experiment/table"
)

// Delay takes the time to a first token apart.
type Delay struct {
	Total       time.Duration
	Queue       time.Duration // until the prompt's first step begins
	OwnPrompt   time.Duration // reading this prompt
	OtherPrompt time.Duration // reading others' prompts in the same steps
	Batch       time.Duration // the batch's tokens in these steps
	Steps       time.Duration // what each step costs besides
	Uncached    int           // prompt tokens to read
	Beside      int           // requests running at the group
}

// add sums two delays.
func (d Delay) add(o Delay) Delay {
	return Delay{
		Total: d.Total + o.Total, Queue: d.Queue + o.Queue,
		OwnPrompt: d.OwnPrompt + o.OwnPrompt, OtherPrompt: d.OtherPrompt + o.OtherPrompt,
		Batch: d.Batch + o.Batch, Steps: d.Steps + o.Steps,
		Uncached: d.Uncached + o.Uncached, Beside: d.Beside + o.Beside,
	}
}

// step adds one step in which read prompt tokens were read, own of them this
// prompt's, and so many requests generated.
func (d *Delay) step(own, read, generating int) {
	d.OwnPrompt += time.Duration(own) * stepPrompt
	d.OtherPrompt += time.Duration(read-own) * stepPrompt
	d.Batch += time.Duration(generating) * stepRequest
	d.Steps += stepBase
}

const (
	// tailFrom and tailTo are the slow requests whose delay is shown, around
	// the 95th in 100.
	tailFrom = 0.93
	tailTo   = 0.97
)

// tailMean is the mean of the delays around the 95th in 100.
func tailMean(delays []Delay) (mean Delay, n int) {
	slices.SortFunc(delays, func(a, b Delay) int { return cmp.Compare(a.Total, b.Total) })
	tail := delays[int(tailFrom*float64(len(delays))):int(tailTo*float64(len(delays)))]
	for _, d := range tail {
		mean = mean.add(d)
	}
	return mean, len(tail)
}

// DelayTable takes the small workspaces' first token apart, without and with
// a flood.
func DelayTable(limits []NamedLimit, loads []float64, seeds int) *table.Table {
	t := &table.Table{
		Name:  "delay",
		Title: "Where the first token of small workspaces goes, mean of those around the 95th in 100, ms",
		Header: []string{"load before", "limit", "total", "queue", "own prompt", "others' prompts", "batch", "steps",
			"uncached tokens", "running beside", "answers a second"},
		Value: 2,
	}
	capacity := Capacity(fleetGroups)
	variants := 2 * len(limits)
	t.Fill(len(loads)*variants, func(i int) []string {
		l := limits[i%variants/2]
		return delayRow(l, loads[i/variants], capacity, seeds, i%2 == 1)
	})
	return t
}

func delayRow(l NamedLimit, load, capacity float64, seeds int, flood bool) []string {
	var delays []Delay
	answered, seconds := 0, 0.0
	for seed := range uint64(seeds) {
		scenario := limited(l, seed+1, sources(load*capacity))
		if flood {
			scenario = flooded(scenario, 0)
		}
		s := Run(scenario)
		answered += s.Answered
		seconds += scenario.Duration.Seconds()
		for name, of := range s.DelayOf {
			if strings.HasPrefix(string(name), "small") {
				delays = append(delays, of...)
			}
		}
	}
	name := l.Name + ", calm"
	if flood {
		name = l.Name + ", flood"
	}
	sum, n := tailMean(delays)
	each := time.Duration(n)
	return []string{
		fmt.Sprintf("%g", load), name, millis(sum.Total / each), millis(sum.Queue / each), millis(sum.OwnPrompt / each),
		millis(sum.OtherPrompt / each), millis(sum.Batch / each), millis(sum.Steps / each),
		fmt.Sprint(sum.Uncached / n), fmt.Sprint(sum.Beside / n), rate(answered, seconds),
	}
}
