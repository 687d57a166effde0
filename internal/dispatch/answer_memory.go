package dispatch

import (
	"time"

	"carawayproxy.example/caraway/internal/memory"
)

// DefaultAnswerMemory is Config.AnswerMemory if that is not set.
const DefaultAnswerMemory = 32 << 20

// answerGrace is how long a caller may take to read an answer before that may be cut off
// while memory is short: many times what a caller takes that reads.
const answerGrace = time.Second

// newAnswerBudget returns the budget of all answers, and parts of answers, that are kept in
// memory. When they exceed the limit, the largest one is given up, and the attempt that
// fills it ends, or one whose caller does not read it.
func newAnswerBudget(limit int) *memory.Budget {
	if limit <= 0 {
		limit = DefaultAnswerMemory
	}
	return memory.NewBudget(memory.Config{Limit: limit, Policy: memory.LargestOrSlowest(answerGrace)})
}
