package engine

import (
	"context"
	"strings"
	"time"

	"connectrpc.com/connect"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
)

const (
	memberWatchInterval = 200 * time.Millisecond
	memberWatchTimeout  = 500 * time.Millisecond
	fetchRetryDelay     = 500 * time.Millisecond
)

// Apply executes an order from the holder of a scope: an assignment or a release.
func (e *Engine) Apply(ctx context.Context, req *connect.Request[carawayv1.ApplyRequest]) (*connect.Response[carawayv1.ApplyResponse], error) {
	received := time.Now()
	if err := e.waitThawed(ctx); err != nil {
		return nil, err
	}
	m := req.Msg
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Orders++
	if m.ValidFor != nil && time.Since(received) > m.ValidFor.AsDuration() {
		return connect.NewResponse(&carawayv1.ApplyResponse{Reason: "order expired"}), nil
	}
	highest := e.highestTokens[m.Scope]
	if e.cfg.ChecksFencing && m.FencingToken < highest {
		e.stats.StaleOrder++
		return connect.NewResponse(&carawayv1.ApplyResponse{Reason: "old fencing token", HighestToken: highest}), nil
	}
	e.highestTokens[m.Scope] = max(highest, m.FencingToken)
	if m.Assign == nil {
		e.release()
	} else {
		e.assign(m.Assign)
	}
	return connect.NewResponse(&carawayv1.ApplyResponse{Accepted: true, HighestToken: e.highestTokens[m.Scope]}), nil
}

func (e *Engine) release() {
	if e.assignment == nil {
		return
	}
	e.assignmentSeq++
	e.breakAssignment()
	e.assignment, e.ready, e.progress, e.loadedKey = nil, false, 0, ""
}

func (e *Engine) assign(a *carawayv1.Assignment) {
	if sameAssignment(e.assignment, a) {
		return
	}
	e.assignmentSeq++
	e.breakAssignment()
	e.broken = make(chan struct{})
	e.assignment, e.ready, e.progress = a, false, 0
	go e.load(e.assignmentSeq, a)
}

func sameAssignment(a, b *carawayv1.Assignment) bool {
	return a != nil && b != nil && a.Group == b.Group && a.Epoch == b.Epoch && a.Rank == b.Rank &&
		weightsKey(a) == weightsKey(b) && strings.Join(a.Members, ",") == strings.Join(b.Members, ",")
}

func weightsKey(a *carawayv1.Assignment) string {
	return a.Model + "@" + a.Version + "+" + strings.Join(a.Adapters, "+") + "/" + a.Role
}

// load fetches and loads the weights of an assignment and makes the engine
// ready, unless another order supersedes the assignment. An engine that already
// has the weights only joins the epoch, which takes ReformTime.
func (e *Engine) load(order uint64, a *carawayv1.Assignment) {
	ctx := context.Background()
	e.mu.Lock()
	hasWeights := e.loadedKey == weightsKey(a)
	e.mu.Unlock()
	if hasWeights {
		time.Sleep(e.cfg.ReformTime)
		e.finishLoad(order, a)
		return
	}
	if !e.fetch(ctx, order, a) {
		return
	}
	const steps = 4
	for i := range steps {
		time.Sleep(e.cfg.LoadTime / steps)
		if !e.setProgress(order, float64(i+1)/steps) {
			return
		}
	}
	e.finishLoad(order, a)
}

// fetch fetches all artifacts of an assignment and retries until they succeed.
// It returns false if another order supersedes the assignment.
func (e *Engine) fetch(ctx context.Context, order uint64, a *carawayv1.Assignment) bool {
	if e.cfg.Fetch == nil {
		return true
	}
	artifacts := append([]string{""}, a.Adapters...)
	for _, adapter := range artifacts {
		for e.cfg.Fetch(ctx, a.Model, a.Version, adapter) != nil {
			time.Sleep(fetchRetryDelay)
			if !e.setProgress(order, 0) {
				return false
			}
		}
	}
	return true
}

// setProgress sets the load progress, or returns false if the assignment is
// superseded or the engine has crashed.
func (e *Engine) setProgress(order uint64, progress float64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.assignmentSeq != order || e.crashed {
		return false
	}
	e.progress = progress
	return true
}

func (e *Engine) finishLoad(order uint64, a *carawayv1.Assignment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.assignmentSeq != order || e.crashed {
		return
	}
	if e.loadedKey != weightsKey(a) {
		e.loadedKey = weightsKey(a)
		e.stats.Loads++
	}
	e.progress = 1
	e.ready = true
	if e.watchesMembers(a) {
		e.breakAssignment() // until it has found the other members
	}
}

// watchesMembers reports whether the engine stalls while another member of its
// assignment is not present.
func (e *Engine) watchesMembers(a *carawayv1.Assignment) bool {
	return e.cfg.Member != nil && a.Rank == 0 && len(a.Members) > 1
}

// watchMembers breaks the assignment on rank zero while another member is
// unreachable or assigned elsewhere, as a lost peer stalls a collective operation.
func (e *Engine) watchMembers(ctx context.Context) {
	e.mu.Lock()
	a, ready, order := e.assignment, e.ready, e.assignmentSeq
	e.mu.Unlock()
	if a == nil || !ready || !e.watchesMembers(a) {
		return
	}
	whole := true
	for rank, address := range a.Members {
		if rank != 0 && !e.memberPresent(ctx, a, uint32(rank), address) {
			whole = false
			break
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.assignmentSeq != order {
		return
	}
	if !whole {
		e.breakAssignment()
		return
	}
	select {
	case <-e.broken:
		e.broken = make(chan struct{})
	default:
	}
}

func (e *Engine) memberPresent(ctx context.Context, a *carawayv1.Assignment, rank uint32, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, memberWatchTimeout)
	defer cancel()
	resp, err := e.cfg.Member(address).Report(ctx, connect.NewRequest(&carawayv1.ReportRequest{}))
	if err != nil {
		return false
	}
	m := resp.Msg.Assignment
	return m != nil && m.Group == a.Group && m.Epoch == a.Epoch && m.Rank == rank && resp.Msg.Ready
}
