package admission

import (
	"cmp"
	"slices"
	"time"
)

// Pace measures how fast a caller sends the body of a request that holds a slot. The
// caller has a time allowance, which waiting for it uses up. Each byte that arrives
// refunds the time that one byte takes at the minimum rate, up to the whole allowance.
//
// Without it, callers that send a byte now and then occupy all slots of a target until
// their deadlines, and the target looks busy while it does nothing.
type Pace struct {
	// perByte is the time that one byte takes at the minimum rate.
	perByte   time.Duration
	allowance time.Duration
	credit    time.Duration
	idle      time.Duration
}

// NewPace returns the Pace of a body that begins now. rate is the minimum rate in bytes
// per second and must be above zero.
func NewPace(rate int64, allowance time.Duration) Pace {
	return Pace{perByte: time.Second / time.Duration(rate), allowance: allowance, credit: allowance}
}

// Arrived records n bytes that arrived after the caller was waited for.
func (p *Pace) Arrived(n int, waited time.Duration) {
	p.idle += waited
	p.credit = min(p.credit-waited+time.Duration(n)*p.perByte, p.allowance)
}

// Behind returns by how much the body is late; zero or less means that it is not.
// waiting is the duration of the current wait for the caller.
func (p *Pace) Behind(waiting time.Duration) time.Duration { return waiting - p.credit }

// Idle returns the total time spent waiting for the caller, the current wait included.
func (p *Pace) Idle(waiting time.Duration) time.Duration { return p.idle + waiting }

// Shortage returns the number of waiting items that get no slot until work in flight
// ends. It is zero while a slot is free, and slots that are held are subtracted because
// they become free by themselves.
func (s Stats) Shortage() int {
	if s.InFlight+s.Held < s.Limit {
		return 0
	}
	return max(s.QueuedInteractive+s.QueuedBatch-s.Held, 0)
}

const (
	// checksBeforeCut is the number of consecutive checks with a shortage after which a
	// body is cut off when few bodies are late. It shrinks with the fraction of slots that
	// late bodies occupy: if they occupy all slots, nothing else can free one.
	checksBeforeCut = 10
	// slotsPerCut limits one check to cutting off one body for so many slots, but at least
	// one. If all late bodies were cut off together, the next ones would also become late
	// together, and waiting requests would wait for as long again.
	slotsPerCut = 8
)

// SlowBodyPolicy decides which late bodies are cut off because other requests wait for their
// slots. The zero value is ready to use.
type SlowBodyPolicy struct {
	// shortChecks counts the consecutive checks that found a shortage.
	shortChecks int
}

// Choose checks the state of a target's slots and by how much each body is late. It returns
// the indices of the bodies to cut off, the latest first. It returns none while nobody
// waits, so that a short-lived queue does not cut off any upload.
func (l *SlowBodyPolicy) Choose(s Stats, behind []time.Duration) []int {
	shortage := s.Shortage()
	if shortage == 0 {
		l.shortChecks = 0
		return nil
	}
	l.shortChecks++
	late := latestFirst(behind)
	notLate := max(s.Limit-len(late), 0)
	if len(late) == 0 || l.shortChecks*s.Limit <= checksBeforeCut*notLate {
		return nil
	}
	return late[:min(len(late), shortage, max(s.Limit/slotsPerCut, 1))]
}

// latestFirst returns the indices of the late bodies in the order in which they are cut
// off.
func latestFirst(behind []time.Duration) []int {
	var late []int
	for i, by := range behind {
		if by > 0 {
			late = append(late, i)
		}
	}
	slices.SortStableFunc(late, func(a, b int) int { return cmp.Compare(behind[b], behind[a]) })
	return late
}
