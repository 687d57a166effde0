package dispatch

import (
	"carawayproxy.example/caraway/internal/backend"
	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/invariant"
)

// cursor checks the chunks of one attempt and knows which token comes next.
type cursor struct {
	request fleet.RequestID
	attempt fleet.AttemptID
	version fleet.Version
	limit   uint32 // tokens asked for
	next    uint32 // index of the next token wanted
}

// accept returns the tokens of a chunk that are to be given to the caller. A
// token that was given before is dropped. It allocates nothing and reuses the
// chunk's slice.
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
			return nil, errGap
		}
		if t.Index >= c.limit {
			return nil, errTooMany
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
		return errCount
	}
	if end.Version != "" && end.Version != c.version {
		return errVersion
	}
	return nil
}

// given asserts, at the last place before the caller, that the tokens belong
// to the request and follow the ones given before.
func (c *cursor) given(chunk backend.Chunk, tokens []backend.Token) {
	if chunk.Request != c.request || chunk.Attempt != c.attempt {
		invariant.Check(false, "dispatch.own-answer", "request %s attempt %s would be given an answer of request %s attempt %s",
			c.request, c.attempt, chunk.Request, chunk.Attempt)
	}
	for _, t := range tokens {
		if t.Index != c.next {
			invariant.Check(false, "dispatch.contiguous-tokens", "request %s would be given token %d, expected %d", c.request, t.Index, c.next)
		}
		c.next = t.Index + 1
	}
}
