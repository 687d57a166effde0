package dispatch

import (
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
)

// cursor validates the chunks of one attempt and tracks the next token index.
type cursor struct {
	request fleet.RequestID
	attempt fleet.AttemptID
	version fleet.Version
	limit   uint32 // maximum number of tokens
	next    uint32 // index of the next expected token
}

// accept validates a chunk and returns its tokens that have not been delivered
// yet. It does not allocate: the result shares the chunk's slice.
func (c *cursor) accept(chunk backend.Chunk) ([]backend.Token, error) {
	if chunk.Request != c.request || chunk.Attempt != c.attempt {
		return nil, errCrossed
	}
	next := c.next
	kept := chunk.Tokens[:0]
	for _, t := range chunk.Tokens {
		if t.Index < next {
			continue
		}
		if t.Index > next {
			return nil, errTokenGap
		}
		if t.Index >= c.limit {
			return nil, errTooManyTokens
		}
		kept = append(kept, t)
		next++
	}
	if chunk.End != nil {
		if err := c.checkEnd(*chunk.End, next); err != nil {
			return nil, err
		}
	}
	return kept, nil
}

func (c *cursor) checkEnd(end backend.End, next uint32) error {
	if end.TokenCount != next {
		return errTokenCount
	}
	if end.Version != "" && end.Version != c.version {
		return errVersionMismatch
	}
	return nil
}

// advance moves past tokens that are about to be delivered. It asserts, as the
// last check before the caller, that they belong to the request and continue
// the sequence.
func (c *cursor) advance(chunk backend.Chunk, tokens []backend.Token) {
	if chunk.Request != c.request || chunk.Attempt != c.attempt {
		invariant.Check(false, "dispatch.own-answer", "request %s attempt %s would receive an answer of request %s attempt %s",
			c.request, c.attempt, chunk.Request, chunk.Attempt)
	}
	for _, t := range tokens {
		if t.Index != c.next {
			invariant.Check(false, "dispatch.contiguous-tokens", "request %s would receive token %d, expected %d", c.request, t.Index, c.next)
		}
		c.next = t.Index + 1
	}
}
