package dispatch

import (
	"sync"
	"time"
)

// progress is what the attempt has received so far. It is safe for concurrent use.
type progress struct {
	mu          sync.Mutex
	sentAt      time.Time
	lastEventAt time.Time // zero before the first event
	events      int
	isError     bool // the answer is no success
	logged      bool // logFailure was called
}

func (p *progress) recordSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sentAt = time.Now()
}

func (p *progress) recordEvent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastEventAt = time.Now()
	p.events++
}

func (p *progress) recordAnswer(status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isError = status/100 != 2
}

func (p *progress) answeredError() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isError
}

// markLogged returns false if it was called before.
func (p *progress) markLogged() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	first := !p.logged
	p.logged = true
	return first
}

func (p *progress) lastEventTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastEventAt
}

// summary returns the time since the attempt was sent, the time since it last
// received an event, or since it was sent if there was none, and the number of
// events.
func (p *progress) summary(now time.Time) (age, silent time.Duration, events int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	age = now.Sub(p.sentAt)
	if p.events == 0 {
		return age, age, 0
	}
	return age, now.Sub(p.lastEventAt), p.events
}
