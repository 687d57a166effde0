package service_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/internal/service"
	"carawayproxy.example/caraway/standin/platform"
)

func TestConcurrentPublishHasOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		a, b := startDaemon(t, "a", l, nil, false), startDaemon(t, "b", l, nil, false)
		base := requireAccepted(t, a.Publish(t.Context(), publication("anna", change(0, "s", "", "first"))))
		synctest.Wait()
		outs := make(chan service.Outcome, 2)
		go func() { outs <- a.Publish(t.Context(), publication("anna", change(base, "s", "", "by anna"))) }()
		go func() { outs <- b.Publish(t.Context(), publication("bert", change(base, "s", "", "by bert"))) }()
		won, lost := <-outs, <-outs
		if won.Kind != service.Accepted {
			won, lost = lost, won
		}
		assert.Equal(t, won.Kind, service.Accepted)
		assert.Equal(t, lost.Kind, service.Conflicted)
		assert.Equal(t, len(lost.Conflicts), 1)
		c := lost.Conflicts[0]
		assert.Equal(t, c.Reason, service.ReasonBase)
		assert.Equal(t, c.BaseRevision, base)
		assert.Equal(t, c.CurrentRevision, won.Revision)
		loser := map[string]string{"anna": "bert", "bert": "anna"}[c.Author]
		assert.Assert(t, loser != "", "winner %q", c.Author)
		want := fmt.Sprintf("...\n   - name: list\n     idempotent: true\n-# by %s\n+# by %s\n", c.Author, loser)
		assert.Equal(t, c.Diff, want)
	})
}

func TestPublicationIsAtomic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, "a", newLog(), nil, false)
		first := requireAccepted(t, d.Publish(t.Context(), publication("anna", change(0, "s", "", "1"), change(0, "t", "", "1"))))
		second := requireAccepted(t, d.Publish(t.Context(), publication("anna", change(first, "s", "", "2"))))
		out := d.Publish(t.Context(), publication("bert",
			change(0, "new", "", "3"), change(first, "t", "", "3"), change(first, "s", "", "3")))
		assert.Equal(t, out.Kind, service.Conflicted)
		assert.Equal(t, len(out.Conflicts), 1)
		assert.Equal(t, out.Conflicts[0].Service, fleet.ServiceName("s"))
		c := d.fold.Catalog()
		assert.Equal(t, c.Revision, second)
		assert.Equal(t, len(c.Services), 2)
		assert.Equal(t, c.Services["t"].Revision, first)
	})
}

func TestOnlyOwnerMayPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, "a", newLog(), nil, false)
		base := requireAccepted(t, d.Publish(t.Context(), publication("anna", change(0, "s", "anna", "1"))))
		out := d.Publish(t.Context(), publication("bert", change(base, "s", "bert", "not by the owner")))
		assert.Equal(t, out.Kind, service.Conflicted)
		assert.Equal(t, out.Conflicts[0].Reason, service.ReasonOwner)
		assert.Equal(t, out.Conflicts[0].Owner, "anna")
		removal := service.Change{Service: "s", BaseRevision: base}
		assert.Equal(t, d.Publish(t.Context(), publication("bert", removal)).Kind, service.Conflicted)
		base = requireAccepted(t, d.Publish(t.Context(), publication("anna", change(base, "s", "", "owner removed"))))
		requireAccepted(t, d.Publish(t.Context(), publication("bert", change(base, "s", "bert", "taken"))))
	})
}

func TestRemovalAndHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, "a", newLog(), nil, false)
		base := uint64(0)
		for i := range service.MaxHistory + 5 {
			base = requireAccepted(t, d.Publish(t.Context(), publication("anna", change(base, "s", "", fmt.Sprint(i)))))
		}
		history := d.fold.History("s")
		assert.Equal(t, len(history), service.MaxHistory)
		assert.Equal(t, history[len(history)-1].Revision, base)
		removal := service.Change{Service: "s", BaseRevision: base, File: "s.yaml"}
		requireAccepted(t, d.Publish(t.Context(), publication("anna", removal)))
		assert.Equal(t, len(d.fold.Catalog().Services), 0)
		history = d.fold.History("s")
		assert.Assert(t, history[len(history)-1].Removed)
		assert.Equal(t, d.Publish(t.Context(), publication("anna", removal)).Kind, service.Conflicted)
		requireAccepted(t, d.Publish(t.Context(), publication("bert", change(0, "s", "", "created again"))))
	})
}

func TestHistoryIsBoundedInBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := startDaemon(t, "a", newLog(), nil, false)
		base := uint64(0)
		for range 4 {
			padding := fmt.Sprintf("%030000d", base)
			base = requireAccepted(t, d.Publish(t.Context(), publication("anna", change(base, "s", "", padding))))
		}
		history := d.fold.History("s")
		assert.Equal(t, history[0].Body, "")
		assert.Assert(t, history[1].Body != "" && history[3].Body != "")
	})
}

func TestInvalidPublicationIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		d := startDaemon(t, "a", l, nil, false)
		bad := change(0, "s", "", "x")
		bad.Body = "service: s\nkind: robot\nsizes: 3\n"
		other := change(0, "t", "", "x")
		other.Service = "u"
		out := d.Publish(t.Context(), service.Publication{Changes: []service.Change{bad, other, {}}})
		assert.Equal(t, out.Kind, service.Invalid)
		assert.Equal(t, len(out.Problems), 4, "%v", out.Problems)
		assert.ErrorContains(t, out.Problems[0], "author")
		assert.ErrorContains(t, out.Problems[1], "s.yaml:3:1: sizes: unknown field")
		assert.ErrorContains(t, out.Problems[2], `names service "t", the change is for "u"`)
		assert.ErrorContains(t, out.Problems[3], "not named")
		duplicate := d.Publish(t.Context(), publication("anna", change(0, "s", "", "1"), change(0, "s", "", "2")))
		assert.Equal(t, duplicate.Kind, service.Invalid)
		assert.Equal(t, l.Stats().Records, uint64(0))
	})
}

func TestDryRunSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		d := startDaemon(t, "a", l, nil, false)
		assert.Equal(t, d.DryRun(publication("anna", change(0, "s", "", "1"))).Kind, service.WouldBeAccepted)
		out := d.DryRun(publication("anna", change(3, "s", "", "1")))
		assert.Equal(t, out.Kind, service.Conflicted)
		assert.Equal(t, out.Conflicts[0].CurrentRevision, uint64(0))
		assert.Equal(t, l.Stats().Records, uint64(0))
	})
}

func TestPublishWhileTheLogIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		d := startDaemon(t, "a", l, nil, false)
		base := requireAccepted(t, d.Publish(t.Context(), publication("anna", change(0, "s", "", "1"))))
		l.SetFaults(platform.LogFaults{Down: true})
		begin := time.Now()
		assert.Equal(t, d.Publish(t.Context(), publication("anna", change(base, "s", "", "2"))).Kind, service.NotPublished)
		assert.Equal(t, time.Since(begin), time.Duration(0))
		l.SetFaults(platform.LogFaults{})
		time.Sleep(2 * time.Second) // until the replica reads the log again
		d.log.setDropAppends(true)
		out := d.Publish(t.Context(), publication("anna", change(base, "s", "", "2")))
		assert.Equal(t, out.Kind, service.Unknown, "%v", out.Err)
	})
}

// lateProposer returns the result of a record that reached the log too late.
type lateProposer struct{}

func (lateProposer) Propose(context.Context, journal.Kind, any) journal.Result {
	return journal.Result{Outcome: journal.OutcomeRejected, Verdict: journal.Reject("stale")}
}

func (lateProposer) Status() journal.Status { return journal.Status{} }

func TestLateRecordIsNotPublished(t *testing.T) {
	p := service.NewPublisher(lateProposer{}, service.NewFold(), nil)
	out := p.Publish(t.Context(), publication("anna", change(0, "s", "", "1")))
	assert.Equal(t, out.Kind, service.NotPublished)
	assert.ErrorContains(t, out.Err, "stale")
}

// A fold must reject invalid records even though daemons don't write them. A
// record with a newer syntax must stop the fold with an error instead.
func TestFoldRejectsInvalidRecords(t *testing.T) {
	for name, c := range map[string]struct {
		change  service.Change
		reason  string
		wantErr bool
	}{
		"does not parse":  {change: service.Change{Service: "s", Body: "service: [", Syntax: 1}, reason: "a service file does not parse"},
		"another service": {change: service.Change{Service: "t", Body: serviceFile("s", "", ""), Syntax: 1}, reason: "a service file does not match its change"},
		"another owner":   {change: service.Change{Service: "s", Owner: "x", Body: serviceFile("s", "y", ""), Syntax: 1}, reason: "a service file does not match its change"},
		"later syntax":    {change: service.Change{Service: "s", Body: "service: [", Syntax: service.Syntax + 1}, wantErr: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := service.NewFold()
			data, err := journal.Encode(publication("anna", c.change))
			assert.NilError(t, err)
			v, err := f.Apply(0, journal.Record{Kind: service.KindPublish, Body: data})
			assert.Equal(t, err != nil, c.wantErr, "%v", err)
			assert.Assert(t, !v.Accepted)
			assert.Equal(t, v.Reason, c.reason)
			assert.Equal(t, f.Catalog().Revision, uint64(0))
		})
	}
}

// A publication must take effect at every live daemon within 7 s, including
// daemons whose log calls fail or get no response but that reach their peers.
func TestPublicationReachesAllDaemonsWithin7s(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		l.SetFaults(platform.LogFaults{Delay: 300 * time.Millisecond})
		p := &peerSet{}
		var all []*testDaemon
		for i := range 9 {
			all = append(all, startDaemon(t, fleet.DaemonID(fmt.Sprint(i)), l, p, false))
		}
		time.Sleep(5 * time.Second)
		all[7].log.setUnresponsive(true)
		all[8].log.setDisconnected(true)
		time.Sleep(3 * time.Second) // until the reads in flight have ended
		revision := requireAccepted(t, all[0].Publish(t.Context(), publication("anna", change(0, "s", "", "1"))))
		begin := time.Now()
		for i, d := range all {
			for d.fold.Catalog().Revision < revision {
				time.Sleep(50 * time.Millisecond)
				assert.Assert(t, time.Since(begin) <= 7*time.Second, "daemon %d has not received the publication", i)
			}
			t.Logf("daemon %d after %v", i, time.Since(begin))
		}
	})
}

// The configuration must never revert to an older revision while daemons are
// replaced one after another, records expire and the log has outages.
func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLog()
		p := &peerSet{}
		live := []*testDaemon{startDaemon(t, "0", l, p, true), startDaemon(t, "1", l, p, true), startDaemon(t, "2", l, p, true)}
		base := requireAccepted(t, live[0].Publish(t.Context(), publication("anna", change(0, "s", "", "first"))))
		for i := range 18 {
			time.Sleep(20 * time.Minute)
			l.SetFaults(platform.LogFaults{Down: i%5 == 4})
			old := live[0]
			live = append(live[1:], startDaemon(t, fleet.DaemonID(fmt.Sprint("r", i)), l, p, true))
			time.Sleep(5 * time.Second)
			old.shutdown()
			l.SetFaults(platform.LogFaults{LoseResponses: i % 2})
			if i%4 == 3 {
				time.Sleep(5 * time.Second)
				base = requireAccepted(t, live[0].Publish(t.Context(), publication("anna", change(base, "s", "", fmt.Sprint(i)))))
			}
			time.Sleep(5 * time.Second)
			for j, d := range live {
				c := d.fold.Catalog()
				assert.Equal(t, c.Revision, base, "daemon %d in round %d", j, i)
				assert.Equal(t, c.Services["s"].Revision, base)
			}
		}
		fresh := startDaemon(t, "fresh", l, nil, false)
		time.Sleep(time.Second)
		assert.Equal(t, fresh.fold.Catalog().Revision, base)
		assert.DeepEqual(t, fresh.fold.History("s"), live[0].fold.History("s"))
	})
}
