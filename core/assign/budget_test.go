package assign

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
	"tarragongw/core/linkbudget"
)

// orderReplay has a leader renew the grants of 232 targets with four ranges each, of which those with numbers below
// silentBelow leave every order unanswered from the first second on.
type orderReplay struct {
	assigner    *Assigner
	silentBelow int
	// most is the highest number of orders in a step of 10 ms after the first second, dead how many grants silent targets
	// got, and lapsed how many ranges of live targets had no grant in a step.
	most, dead, lapsed int
}

type lateOutcome struct {
	at time.Time
	id uint64
}

func newOrderReplay(t *testing.T, budget *linkbudget.Bucket, silentBelow int) *orderReplay {
	t.Helper()
	const targets, rangesEach = 232, 4
	var ids []string
	for i := range targets {
		ids = append(ids, fmt.Sprintf("t%03d", i))
	}
	table := newSettled(t, ids...).Table()
	split := table.Segments[:0:0]
	for _, s := range table.Segments {
		keys := keyspace.Key(s.Len() / rangesEach)
		for i := range keyspace.Key(rangesEach) {
			part := s
			part.From = s.From + i*keys
			if i < rangesEach-1 {
				part.To = part.From + keys - 1
			}
			split = append(split, part)
		}
	}
	table.Segments = split
	r := &orderReplay{assigner: TakeOver(start, Config{OrderBudget: budget}, "s", table), silentBelow: silentBelow}
	r.assigner.SetTargets(start, testTargets(ids...))
	r.assigner.nextMergeAt = after(time.Hour)
	return r
}

func (r *orderReplay) run(length time.Duration) {
	var late []lateOutcome
	for now := start; now.Before(start.Add(length)); now = now.Add(10 * time.Millisecond) {
		for len(late) > 0 && !late[0].at.After(now) {
			r.assigner.OrderDone(now, late[0].id, Unanswered, "")
			late = late[1:]
		}
		actions := r.assigner.Step(now)
		if actions.Write != nil {
			r.assigner.WriteDone(actions.Write.Generation, true)
		}
		silent := now.Sub(start) >= time.Second
		if silent {
			r.most = max(r.most, len(actions.Orders))
			r.countLapsed(now)
		}
		for _, o := range actions.Orders {
			if silent && r.isSilent(o.Holder.Target) {
				if o.Kind == Grant {
					r.dead++
				}
				late = append(late, lateOutcome{now.Add(orderTimeout), o.ID})
				continue
			}
			r.assigner.OrderDone(now, o.ID, Accepted, "h")
		}
	}
}

func (r *orderReplay) isSilent(target string) bool {
	return target < fmt.Sprintf("t%03d", r.silentBelow)
}

func (r *orderReplay) countLapsed(now time.Time) {
	for i := range r.assigner.spans {
		if s := &r.assigner.spans[i]; s.acked && !r.isSilent(s.Target) && !s.expiry.After(now) {
			r.lapsed++
		}
	}
}

// Guards against a leader on a slow link that renews hundreds of ranges at the same moment, so that the grants wait in
// its link until their time is over.
func TestRenewalsAreSpreadOnASlowLink(t *testing.T) {
	unbounded := newOrderReplay(t, nil, 0)
	unbounded.run(4 * time.Second)
	assert.Assert(t, unbounded.most > 500, "%d", unbounded.most)
	bounded := newOrderReplay(t, linkbudget.NewBucket(0.5e6, 350, 200*time.Millisecond), 0)
	bounded.run(4 * time.Second)
	assert.Assert(t, bounded.most < 100, "%d orders within 10 ms", bounded.most)
	assert.Equal(t, bounded.lapsed, 0)
}

// Guards against live holders whose grants lapse because orders to silent targets, or the bound itself, hold up renewals:
// the link carries only a few more orders than there are renewals.
func TestLiveGrantsOutlastABoundOnOrders(t *testing.T) {
	r := newOrderReplay(t, linkbudget.NewBucket(0.35e6, 350, 50*time.Millisecond), 38)
	r.run(8 * time.Second)
	assert.Equal(t, r.lapsed, 0)
}

// Guards against a leader whose link and connections are taken by grants to targets that are gone.
func TestSilentTargetsAreTriedOneRangeAtATime(t *testing.T) {
	r := newOrderReplay(t, nil, 150)
	r.run(4 * time.Second)
	assert.Assert(t, r.dead <= 150*(4+1), "%d grants", r.dead) // each range once, then one range of each target
}
