// Package quarantine decides which requests are no longer sent because they crash the targets that
// run them. It does no I/O and takes the time as a parameter.
//
// When a target crashes, all requests that were in flight there are suspects, and all but one are
// innocent. A request that was in flight at Threshold crashes, and was never answered in between, is
// refused from then on.
package quarantine

import "time"

const (
	// Threshold is the number of crashes after which a request is refused.
	Threshold = 3
	// MaxTrials is how often a refused request is tried again without an operator's command.
	MaxTrials = 2
	// firstTrialAfter and nextTrialAfter are how long after its last crash a refused request is tried
	// again: the service may have been corrected.
	firstTrialAfter = 10 * time.Minute
	nextTrialAfter  = time.Hour
	// trialTimeout is how long a trial may take until another request of the service may be tried.
	trialTimeout = 10 * time.Second
	// reassignAfter is how long a trial waits at one router for the request before it is given to
	// another one, to which the request came meanwhile.
	reassignAfter = 2 * time.Second
	// commonCauseWithin is the time within which crashes may have a common cause, such as a data
	// centre without power.
	commonCauseWithin = time.Second
	// sameCrashWithin is the time within which reports on a target whose instances can't be told
	// apart are about the same crash.
	sameCrashWithin = 2 * time.Second
	// suspectTTL is how long a request that isn't refused remains suspected after its last crash.
	suspectTTL = time.Hour
	// maxEntries bounds the entries, maxPerService those of one service, and maxRefusedPerService
	// those of them that are refused, so that there is always room for others.
	maxEntries           = 1024
	maxPerService        = 256
	maxRefusedPerService = 192
	// maxInstances bounds the crashed instances that an entry remembers.
	maxInstances = 8
)

// Suspect is a request that was in flight at a target when that crashed.
type Suspect struct {
	Fingerprint Fingerprint
	// URIHash is the HashURI of the request's path and query.
	URIHash uint64
}

// Instance is one instance of a target. StartUnixMilli is zero if instances can't be told apart.
type Instance struct {
	Target         string
	StartUnixMilli int64
}

// Crash is a crash of a target of a service, and the requests that one router had in flight there.
type Crash struct {
	Service  string
	Instance Instance
	Suspects []Suspect
}

// Observations are what one router has to tell the router that keeps the list.
type Observations struct {
	Crashes []Crash
	// Answered are suspected requests that were answered, and Released those that an operator
	// releases.
	Answered, Released []Fingerprint
	// Refused are requests that were refused, and Tried those for which a trial began.
	Refused, Tried []Fingerprint
}

// Empty reports whether there is nothing to tell.
func (o *Observations) Empty() bool {
	return len(o.Crashes)+len(o.Answered)+len(o.Released)+len(o.Refused)+len(o.Tried) == 0
}

// Entry is what is known of a suspected request.
type Entry struct {
	Suspect
	Service string
	// Instances are the last instances that crashed with the request in flight, and Crashes is the
	// number of all of them. First and Last are when the first and the last one crashed.
	Instances   []Instance
	Crashes     int
	First, Last time.Time
	// Trials is the number of trials that have begun. TrialRouter is the router that may begin
	// the next one; empty if none may.
	Trials      int
	TrialRouter string
}

// Refused reports whether the request is no longer sent.
func (e *Entry) Refused() bool { return e.Crashes >= Threshold }

// List is the list of suspected requests as one router sends it to the others.
type List struct {
	// Term grows with each router that keeps the list, and Sequence with each change that it makes.
	Term, Sequence uint64
	Entries        []Entry
}

// Newer reports whether the list is newer than one with the given term and sequence.
func (l *List) Newer(term, sequence uint64) bool {
	return l.Term > term || l.Term == term && l.Sequence > sequence
}

// Set finds entries by request. It is immutable; nil is an empty set.
type Set struct{ byURI map[uint64][]*Entry }

// NewSet returns a set of copies of the entries, or nil if there are none.
func NewSet(entries []Entry) *Set {
	if len(entries) == 0 {
		return nil
	}
	s := &Set{byURI: make(map[uint64][]*Entry, len(entries))}
	for _, e := range entries {
		s.byURI[e.URIHash] = append(s.byURI[e.URIHash], &e)
	}
	return s
}

// Resembles reports whether a request for the URI may be in the set.
func (s *Set) Resembles(uri string) bool { return s != nil && len(s.byURI[HashURI(uri)]) > 0 }

// Find returns the request's entry, or nil.
func (s *Set) Find(suspect Suspect) *Entry {
	if s == nil {
		return nil
	}
	for _, e := range s.byURI[suspect.URIHash] {
		if e.Fingerprint == suspect.Fingerprint {
			return e
		}
	}
	return nil
}
