package feed

import (
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"tarragongw/core/quarantine"
	"tarragongw/peer/feedpb"
)

// MarshalQuarantine encodes a list of suspected requests at a time.
func MarshalQuarantine(l *quarantine.List, now time.Time) ([]byte, error) {
	data, err := proto.Marshal(encodeQuarantine(l, now))
	return data, errors.Wrap(err, "encode the list of suspected requests")
}

// UnmarshalQuarantine decodes a list of suspected requests that arrives at a time. Entries without a
// valid fingerprint are left out.
func UnmarshalQuarantine(data []byte, now time.Time) (*quarantine.List, error) {
	p := &feedpb.Quarantine{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "decode the list of suspected requests")
	}
	return decodeQuarantine(p, now), nil
}

func encodeQuarantine(l *quarantine.List, now time.Time) *feedpb.Quarantine {
	p := &feedpb.Quarantine{Term: l.Term, Sequence: l.Sequence}
	for i := range l.Entries {
		p.Entries = append(p.Entries, encodeQuarantineEntry(&l.Entries[i], now))
	}
	return p
}

func encodeQuarantineEntry(e *quarantine.Entry, now time.Time) *feedpb.QuarantineEntry {
	p := &feedpb.QuarantineEntry{
		Suspect: encodeSuspect(e.Suspect), Service: e.Service, Crashes: uint32(e.Crashes), FirstMsAgo: now.Sub(e.First).Milliseconds(),
		LastMsAgo: now.Sub(e.Last).Milliseconds(), Trials: uint32(e.Trials), TrialRouter: e.TrialRouter,
	}
	for _, i := range e.Instances {
		p.Instances = append(p.Instances, encodeInstance(i))
	}
	return p
}

func decodeQuarantine(p *feedpb.Quarantine, now time.Time) *quarantine.List {
	l := &quarantine.List{Term: p.GetTerm(), Sequence: p.GetSequence()}
	for _, e := range p.GetEntries() {
		suspect, ok := decodeSuspect(e.GetSuspect())
		if !ok {
			continue
		}
		decoded := quarantine.Entry{
			Suspect: suspect, Service: e.GetService(), Crashes: int(e.GetCrashes()), First: now.Add(-millis(e.GetFirstMsAgo())),
			Last: now.Add(-millis(e.GetLastMsAgo())), Trials: int(e.GetTrials()), TrialRouter: e.GetTrialRouter(),
		}
		for _, i := range e.GetInstances() {
			decoded.Instances = append(decoded.Instances, decodeInstance(i))
		}
		l.Entries = append(l.Entries, decoded)
	}
	return l
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func encodeInstance(i quarantine.Instance) *feedpb.Instance {
	return &feedpb.Instance{Target: i.Target, Born: i.StartUnixMilli}
}

func decodeInstance(p *feedpb.Instance) quarantine.Instance {
	return quarantine.Instance{Target: p.GetTarget(), StartUnixMilli: p.GetBorn()}
}

func encodeSuspect(s quarantine.Suspect) *feedpb.Suspect {
	return &feedpb.Suspect{Fingerprint: s.Fingerprint[:], UriHash: s.URIHash}
}

func decodeSuspect(p *feedpb.Suspect) (quarantine.Suspect, bool) {
	f, ok := quarantine.FingerprintOf(p.GetFingerprint())
	return quarantine.Suspect{Fingerprint: f, URIHash: p.GetUriHash()}, ok
}

// MarshalObservations encodes what a router observed.
func MarshalObservations(o *quarantine.Observations) ([]byte, error) {
	data, err := proto.Marshal(encodeObservations(o))
	return data, errors.Wrap(err, "encode observations")
}

// UnmarshalObservations decodes what a router observed. What has no valid fingerprint is left out.
func UnmarshalObservations(data []byte) (*quarantine.Observations, error) {
	p := &feedpb.Observations{}
	if err := proto.Unmarshal(data, p); err != nil {
		return nil, errors.Wrap(err, "decode observations")
	}
	return decodeObservations(p), nil
}

// encodeObservations returns nil if there is nothing to tell.
func encodeObservations(o *quarantine.Observations) *feedpb.Observations {
	if o == nil || o.Empty() {
		return nil
	}
	p := &feedpb.Observations{
		Answered: encodeFingerprints(o.Answered), Released: encodeFingerprints(o.Released),
		Refused: encodeFingerprints(o.Refused), Tried: encodeFingerprints(o.Tried),
	}
	for _, c := range o.Crashes {
		crash := &feedpb.Crash{Service: c.Service, Instance: encodeInstance(c.Instance)}
		for _, s := range c.Suspects {
			crash.Suspects = append(crash.Suspects, encodeSuspect(s))
		}
		p.Crashes = append(p.Crashes, crash)
	}
	return p
}

func decodeObservations(p *feedpb.Observations) *quarantine.Observations {
	o := &quarantine.Observations{
		Answered: decodeFingerprints(p.GetAnswered()), Released: decodeFingerprints(p.GetReleased()),
		Refused: decodeFingerprints(p.GetRefused()), Tried: decodeFingerprints(p.GetTried()),
	}
	for _, c := range p.GetCrashes() {
		crash := quarantine.Crash{Service: c.GetService(), Instance: decodeInstance(c.GetInstance())}
		for _, s := range c.GetSuspects() {
			if suspect, ok := decodeSuspect(s); ok {
				crash.Suspects = append(crash.Suspects, suspect)
			}
		}
		o.Crashes = append(o.Crashes, crash)
	}
	return o
}

func encodeFingerprints(all []quarantine.Fingerprint) [][]byte {
	var encoded [][]byte
	for _, f := range all {
		encoded = append(encoded, f[:])
	}
	return encoded
}

func decodeFingerprints(all [][]byte) []quarantine.Fingerprint {
	var decoded []quarantine.Fingerprint
	for _, bytes := range all {
		if f, ok := quarantine.FingerprintOf(bytes); ok {
			decoded = append(decoded, f)
		}
	}
	return decoded
}
