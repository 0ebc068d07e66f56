package statement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/keyspace"
)

// Guards against a rest that a shorter one, an expired one or one of another instance shortens or revives.
func TestEachRestBindsByItself(t *testing.T) {
	r, now := NewRests(), time.Unix(1000, 0)
	a, restarted := keyspace.Holder{Target: "a", StartUnixMilli: 1}, keyspace.Holder{Target: "a", StartUnixMilli: 2}
	ask := func(after, d time.Duration) Change {
		_, change := r.Ask(now.Add(after), a, "s", d)
		return change
	}
	assert.Equal(t, ask(0, 3*time.Second), Began)
	assert.Equal(t, ask(time.Second, time.Second), Unchanged)
	until, resting := r.Until(now.Add(2999*time.Millisecond), a)
	assert.Assert(t, resting && until.Equal(now.Add(3*time.Second)))
	_, resting = r.Until(now, restarted)
	assert.Assert(t, !resting)
	assert.Equal(t, ask(2*time.Second, 3*time.Second), Extended)
	assert.Equal(t, len(r.Expire(now.Add(4*time.Second))), 0)
	ended := r.Expire(now.Add(5 * time.Second))
	assert.Assert(t, len(ended) == 1 && ended[0].Asked == 3 && ended[0].Began.Equal(now))
	assert.Equal(t, ask(5*time.Second, 0), Unchanged)
	assert.Equal(t, len(r.Current(now.Add(5*time.Second))), 0)
	assert.Equal(t, ask(6*time.Second, time.Hour), Began)
	until, _ = r.Until(now.Add(6*time.Second), a)
	assert.Assert(t, until.Equal(now.Add(6*time.Second+MaxRest)))
}
