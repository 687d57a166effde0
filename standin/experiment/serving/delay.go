package serving

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"carawayproxy.example/caraway/standin/experiment/table"
)

// Delay is the time to a first token by component.
type Delay struct {
	Total       time.Duration
	Queue       time.Duration // until the first step with the prompt
	OwnPrompt   time.Duration // prefill of this prompt
	OtherPrompt time.Duration // prefill of other prompts in the same steps
	Batch       time.Duration // token generation of the batch in these steps
	Steps       time.Duration // fixed cost of these steps
	Uncached    int           // prompt tokens to prefill
	Running     int           // other requests running on the group
}

// add returns the sum of two delays.
func (d Delay) add(o Delay) Delay {
	return Delay{
		Total: d.Total + o.Total, Queue: d.Queue + o.Queue,
		OwnPrompt: d.OwnPrompt + o.OwnPrompt, OtherPrompt: d.OtherPrompt + o.OtherPrompt,
		Batch: d.Batch + o.Batch, Steps: d.Steps + o.Steps,
		Uncached: d.Uncached + o.Uncached, Running: d.Running + o.Running,
	}
}

// addStep adds one step that read the given number of prompt tokens, own of them
// from this prompt, with the given number of generating requests.
func (d *Delay) addStep(own, read, generating int) {
	d.OwnPrompt += time.Duration(own) * stepPrompt
	d.OtherPrompt += time.Duration(read-own) * stepPrompt
	d.Batch += time.Duration(generating) * stepRequest
	d.Steps += stepBase
}

const (
	// tailFrom and tailTo bound the requests around the 95th percentile whose
	// delays are averaged.
	tailFrom = 0.93
	tailTo   = 0.97
)

// sumTail returns the sum and the number of the delays around the 95th percentile.
func sumTail(delays []Delay) (sum Delay, n int) {
	slices.SortFunc(delays, func(a, b Delay) int { return cmp.Compare(a.Total, b.Total) })
	tail := delays[int(tailFrom*float64(len(delays))):int(tailTo*float64(len(delays)))]
	for _, d := range tail {
		sum = sum.add(d)
	}
	return sum, len(tail)
}

// DelayTable breaks down the time to first token of the small workspaces, with
// and without a flood.
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
		scenario := limitedScenario(l, seed+1, workspaceSources(load*capacity))
		if flood {
			scenario = withFlood(scenario, 0)
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
	sum, n := sumTail(delays)
	each := time.Duration(n)
	return []string{
		fmt.Sprintf("%g", load), name, millis(sum.Total / each), millis(sum.Queue / each), millis(sum.OwnPrompt / each),
		millis(sum.OtherPrompt / each), millis(sum.Batch / each), millis(sum.Steps / each),
		fmt.Sprint(sum.Uncached / n), fmt.Sprint(sum.Running / n), formatRate(answered, seconds),
	}
}
