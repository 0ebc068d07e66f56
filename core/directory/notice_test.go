package directory

import (
	"testing"

	"gotest.tools/v3/assert"
)

func kindsOf(notices []Notice) (kinds []NoticeKind) {
	for _, n := range notices {
		kinds = append(kinds, n.Kind)
	}
	return kinds
}

// Guards against a target that leaves without a trace in the logs.
func TestLeavingIsNoticedOnce(t *testing.T) {
	d, target := New(), Target{ID: "a", StartUnixMilli: 1000, Address: "10.0.0.1:80"}
	report := func(ms int, draining bool) []NoticeKind {
		target.Seq++
		target.Draining = draining
		d.Put(at(ms), target)
		return kindsOf(d.Notices())
	}
	assert.Equal(t, len(report(0, false)), 0)
	assert.DeepEqual(t, report(100, true), []NoticeKind{NoticeDraining})
	assert.Equal(t, len(report(200, true)), 0)
	d.Remove(at(300), target.ID, 0)
	assert.DeepEqual(t, kindsOf(d.Notices()), []NoticeKind{NoticeGone})
}
