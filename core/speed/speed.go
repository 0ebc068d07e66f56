// Package speed measures how fast each target of a service does its work, from answers whose work differs
// far more between requests than between targets.
//
// It answers targets that differ for good by a factor of two or three, beside work that is spread over a
// factor of ten. A running mean of some thirty answers is off by a third there, and keys that follow it move
// to and fro. Here a target's speed is a mean of logarithms, which single long answers hardly change, over
// hundreds of answers. Few answers count little against the mean of all targets. A lasting change is found
// by the sum of deviations (CUSUM), and the speed is then learned anew from the answers since it began.
//
// The package is deterministic and does no I/O.
package speed

import "math"

const (
	// memory is the number of answers of a target after which earlier ones fade.
	memory = 200.0
	// serviceMemory is the same for what is known of all targets together.
	serviceMemory = 2000.0
	// priorAnswers is how many answers the mean of all targets counts for in a target's speed.
	priorAnswers = 5.0
	// expectedAnswers is how many answers an expectation counts for. Expectations differ from the mean by
	// maxExpected at most, as a factor.
	expectedAnswers = 20.0
	maxExpected     = 3.0
	// initialDeviation is the standard deviation of the logarithm of service times before it is known.
	initialDeviation = 0.8
	// minVariance bounds what is measured of its square from below.
	minVariance = 0.1
	// maxDeviation bounds what one answer counts in a sum of deviations, in standard deviations.
	maxDeviation = 3.0
	// allowance is the deviation per answer that is no sign of a change; changeSum is the sum of deviations
	// that is one. A target that takes five times as long is found after some ten answers.
	allowance = 0.5
	changeSum = 12.0
	// minAnswers is how many answers make a mean of a service.
	minAnswers = 20.0
	// unstatedAnswers is how many answers another router's knowledge rests on if it doesn't say.
	unstatedAnswers = 30
)

// Speeds are the speeds of a service's targets. It is not safe for concurrent use.
type Speeds struct {
	// mean is of the service times in seconds, logMean of their logarithms, of all targets.
	mean, logMean faded
	// typical is the mean of exp(logMean) of the target of each answer, and variance that of the
	// deviations from it.
	typical, variance faded
	targets           map[string]*target
	// expected is the logarithm of a target's time over the service's mean, as far as Expect has told it.
	expected map[string]float64
}

// faded is a mean whose earlier values fade.
type faded struct{ value, answers float64 }

func (f *faded) add(value, answers, memory float64) {
	f.answers = math.Min(f.answers+answers, math.Max(memory, answers))
	f.value += (value - f.value) * answers / f.answers
}

// target is what is known of one target, in logarithms of seconds.
type target struct {
	lasting faded
	// expected is the difference from the service's mean that counts as expectedAnswers.
	expected, expectedAnswers float64
	// slower and faster are the answers since the last one that showed no such change.
	slower, faster excursion
}

// excursion is a run of answers that differ in one direction.
type excursion struct {
	sum  float64
	mean faded
}

// add counts an answer that deviates by z standard deviations, and reports whether that makes a change.
func (e *excursion) add(z, value, answers float64) bool {
	e.sum += math.Min(z, maxDeviation) - allowance
	if e.sum <= 0 {
		*e = excursion{}
		return false
	}
	e.mean.add(value, answers, memory)
	return e.sum >= changeSum
}

// New returns Speeds of a service, of which only a first guess of the service time in seconds is known.
func New(guess float64) *Speeds {
	return &Speeds{targets: map[string]*target{}, logMean: faded{math.Log(guess) - initialDeviation*initialDeviation/2, priorAnswers}}
}

// Add records a number of answers of a target, which took the given mean time in seconds.
func (s *Speeds) Add(id string, answers int, seconds float64) {
	if answers <= 0 || seconds <= 0 {
		return
	}
	n, value := float64(answers), math.Log(seconds)
	// The logarithm of a mean is larger than the mean of logarithms, by half the variance at most.
	value -= s.deviationSquared() / 2 * (1 - 1/n)
	s.mean.add(seconds, n, serviceMemory)
	s.logMean.add(value, n, serviceMemory)
	t, deviation := s.addTo(id, n, value)
	s.typical.add(math.Exp(s.logOf(t)), n, serviceMemory)
	limit := maxDeviation * initialDeviation
	s.variance.add(math.Pow(math.Max(-limit, math.Min(deviation, limit)), 2)*n, 1, serviceMemory)
}

// AddUnanswered records a request of a target that has not ended within a time in seconds that is longer
// than usual. It says nothing about the other targets.
func (s *Speeds) AddUnanswered(id string, seconds float64) { s.addTo(id, 1, math.Log(seconds)) }

// addTo adds answers with a mean logarithm to a target, and returns by how much it deviates from what was known.
func (s *Speeds) addTo(id string, answers, value float64) (t *target, deviation float64) {
	if t = s.targets[id]; t == nil {
		t = s.newTarget(id)
		s.targets[id] = t
	}
	deviation = value - s.logOf(t)
	t.lasting.add(value, answers, memory)
	z := deviation / math.Sqrt(s.deviationSquared()/answers)
	slower, faster := t.slower.add(z, value, answers), t.faster.add(-z, value, answers)
	switch {
	case slower:
		t.restart(t.slower.mean)
	case faster:
		t.restart(t.faster.mean)
	}
	return t, deviation
}

func (s *Speeds) newTarget(id string) *target {
	if expected, known := s.expected[id]; known {
		return &target{expected: expected, expectedAnswers: expectedAnswers}
	}
	return &target{expectedAnswers: priorAnswers}
}

// restart forgets all answers but those of a change, and what was expected.
func (t *target) restart(since faded) { *t = target{lasting: since, expectedAnswers: priorAnswers} }

// Set replaces what is known of a target by another router's knowledge: its time in seconds, and by how many
// answers that is known; zero if it doesn't say.
func (s *Speeds) Set(id string, answers int, seconds float64) {
	if seconds <= 0 {
		return
	}
	if answers <= 0 {
		answers = unstatedAnswers
	}
	known := faded{math.Log(seconds) - s.logExcess(), math.Min(float64(answers), memory)}
	s.logMean.add(known.value, 1, serviceMemory)
	s.targets[id] = &target{lasting: known, expectedAnswers: priorAnswers}
}

// Expect sets by which factors the times of targets are expected to differ from the service's mean, until
// enough answers are known.
func (s *Speeds) Expect(factors map[string]float64) {
	s.expected = make(map[string]float64, len(factors))
	for id, factor := range factors {
		s.expected[id] = math.Log(math.Min(math.Max(factor, 1/maxExpected), maxExpected))
	}
}

// Keep forgets all targets but those that keep reports as known.
func (s *Speeds) Keep(keep func(id string) bool) {
	for id := range s.targets {
		if !keep(id) {
			delete(s.targets, id)
		}
	}
}

// Time returns the mean time in seconds that the target takes for a request; zero if there is no answer of
// it and nothing is expected.
func (s *Speeds) Time(id string) float64 {
	t := s.targets[id]
	if t == nil {
		if _, expected := s.expected[id]; !expected || s.mean.answers == 0 {
			return 0
		}
		t = s.newTarget(id)
	}
	return math.Exp(s.logOf(t) + s.logExcess())
}

// Answers returns by how many answers a target's speed is known.
func (s *Speeds) Answers(id string) int {
	if t := s.targets[id]; t != nil {
		return int(t.lasting.answers)
	}
	return 0
}

// logOf returns the target's mean logarithm, in which what is expected counts as some answers.
func (s *Speeds) logOf(t *target) float64 {
	expected := s.logMean.value + t.expected
	return expected + (t.lasting.value-expected)*t.lasting.answers/(t.lasting.answers+t.expectedAnswers)
}

// logExcess returns by how much the logarithm of the mean exceeds the mean of logarithms, for one target.
func (s *Speeds) logExcess() float64 {
	if s.typical.answers < minAnswers {
		return s.deviationSquared() / 2
	}
	return math.Log(s.mean.value / s.typical.value)
}

// deviationSquared returns the variance of the logarithms of one target's service times.
func (s *Speeds) deviationSquared() float64 {
	if s.variance.answers < minAnswers {
		return initialDeviation * initialDeviation
	}
	return math.Max(s.variance.value, minVariance)
}
