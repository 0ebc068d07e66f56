package pressure

import (
	"math"
	"time"
)

const (
	// allowedPressed is the share of sends that may end pressed before less urgent requests are refused.
	allowedPressed = 0.2
	// stepEvery is the time between two changes of the share that is admitted.
	stepEvery = 250 * time.Millisecond
	// fallGain is the part by which the admitted share falls in a step, for each part of pressed sends above what is
	// allowed; riseStep is by how much it rises in a step without pressure.
	fallGain = 0.5
	riseStep = 0.08
	// leastAdmitted bounds the admitted share, so that it has risen again within seconds of the end of the pressure.
	leastAdmitted = 0.3
	// admissionFloor is the share of each rank that is always admitted.
	admissionFloor = 0.25
	// fewEnds is the number of sends in Memory from which pressure is judged.
	fewEnds = 3
)

// Admission decides which requests of a service are refused while its targets have too little room: the least urgent
// first, and never the most urgent that are asked for.
//
// Without it, requests of all priorities wait in the same queues at the targets, and while these are full the most
// urgent are as late, and fail as often, as the rest.
type Admission struct {
	ration Ration
	// cut is the share of what is asked for that is not admitted.
	cut float64
	// pressed and ends count sends that ended, fading with Memory.
	pressed, ends float64
	// pressedNow says that a send has ended pressed since the last step.
	pressedNow bool
	steppedAt  time.Time
}

// End records that a send ended. It was pressed if there was no answer by its deadline, or if as many requests as the
// target has slots still waited there.
func (a *Admission) End(now time.Time, pressed bool) {
	a.step(now)
	a.ends++
	if pressed {
		a.pressedNow = true
		a.pressed++
	}
}

// Admit reports whether a request of the rank is admitted; draw is random, from 0 to 1.
func (a *Admission) Admit(now time.Time, rank int, draw float64) bool {
	a.step(now)
	a.ration.Ask(now, rank)
	return draw < a.Share(rank)
}

// Share returns the share of the rank's requests that is admitted.
func (a *Admission) Share(rank int) float64 {
	if a.cut == 0 || !a.ration.contested(rank&^1) {
		return 1
	}
	asked := 0.0
	for _, n := range a.ration.asked {
		asked += n
	}
	r := a.ration
	r.supply, r.Floor = asked*(1-a.cut), admissionFloor
	return r.Share(rank)
}

// Admitted returns the share of all that is asked for that is admitted, if there are less urgent requests.
func (a *Admission) Admitted() float64 { return 1 - a.cut }

// Pressure returns the share of sends that ended pressed.
func (a *Admission) Pressure() float64 { return a.pressed / max(a.ends, fewEnds) }

// Wait returns the advised wait of a refused request: the time in which the share that is refused is admitted again if
// the pressure ends now.
func (a *Admission) Wait() time.Duration {
	return max(time.Duration(a.cut/riseStep*float64(stepEvery)), stepEvery)
}

func (a *Admission) step(now time.Time) {
	if a.steppedAt.IsZero() {
		a.steppedAt = now
	}
	for now.Sub(a.steppedAt) >= stepEvery {
		a.steppedAt = a.steppedAt.Add(stepEvery)
		if over := a.Pressure() - allowedPressed; over > 0 && a.pressedNow {
			a.cut = min(a.cut+over*fallGain, 1-leastAdmitted)
		} else {
			a.cut = max(a.cut-riseStep, 0)
		}
		a.pressedNow = false
		keep := math.Exp(-stepEvery.Seconds() / Memory.Seconds())
		a.pressed, a.ends = a.pressed*keep, a.ends*keep
		if a.cut == 0 && a.ends < 1e-3 {
			a.steppedAt = now
		}
	}
}
