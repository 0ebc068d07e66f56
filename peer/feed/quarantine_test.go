package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"tarragongw/core/quarantine"
)

var (
	quarantineTime = time.Unix(1_000_000, 0)
	exampleSuspect = quarantine.Suspect{Fingerprint: quarantine.Fingerprint{1, 2, 3}, URIHash: 1 << 60}
	exampleList    = &quarantine.List{Term: 3, Sequence: 4, Entries: []quarantine.Entry{{
		Suspect: exampleSuspect, Service: "s", Instances: []quarantine.Instance{{Target: "t", StartUnixMilli: 7}}, Crashes: 3,
		First: quarantineTime.Add(-time.Minute), Last: quarantineTime.Add(-time.Second), Trials: 1, TrialRouter: "r",
	}}}
	exampleObservations = &quarantine.Observations{
		Crashes:  []quarantine.Crash{{Service: "s", Instance: quarantine.Instance{Target: "t"}, Suspects: []quarantine.Suspect{exampleSuspect}}},
		Answered: []quarantine.Fingerprint{{1}}, Released: []quarantine.Fingerprint{{2}}, Refused: []quarantine.Fingerprint{{3}}, Tried: []quarantine.Fingerprint{{4}},
	}
)

func TestQuarantineIsDecodedAsEncoded(t *testing.T) {
	data, err := MarshalQuarantine(exampleList, quarantineTime)
	assert.NilError(t, err)
	list, err := UnmarshalQuarantine(data, quarantineTime)
	assert.NilError(t, err)
	assert.DeepEqual(t, list, exampleList)
	data, err = MarshalObservations(exampleObservations)
	assert.NilError(t, err)
	o, err := UnmarshalObservations(data)
	assert.NilError(t, err)
	assert.DeepEqual(t, o, exampleObservations)
}

func FuzzDecodeQuarantine(f *testing.F) {
	for _, marshal := range []func() ([]byte, error){
		func() ([]byte, error) { return MarshalQuarantine(exampleList, quarantineTime) },
		func() ([]byte, error) { return MarshalObservations(exampleObservations) },
	} {
		data, err := marshal()
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		tracker := quarantine.NewTracker()
		if list, err := UnmarshalQuarantine(data, quarantineTime); err == nil {
			tracker.Replace(list.Entries)
			tracker.Merge(list.Entries)
			_, err := MarshalQuarantine(list, quarantineTime)
			assert.NilError(t, err)
		}
		if o, err := UnmarshalObservations(data); err == nil {
			tracker.Observe(quarantineTime, "r", o)
		}
		for _, e := range tracker.Entries() {
			assert.Assert(t, e.Crashes > 1)
		}
	})
}
