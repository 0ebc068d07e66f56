package selector

import "tarragongw/core/model"

// keySet is a set of a service's key subjects as a bitmap, in the order of keySubjects.
type keySet []uint64

const wordBits = 64

// keySubjects returns the subjects that conditions on keys are matched against: the first
// stands for the keys in no range, the others are the ranges in order of name.
func (x *index) keySubjects(service string) []Subject {
	subjects := []Subject{{}}
	for _, r := range x.ranges[service] {
		subjects = append(subjects, Subject{Name: r.Name, Labels: r.Labels})
	}
	return subjects
}

// matchingSubjects returns the set of the subjects that e matches.
func matchingSubjects(e model.Expr, subjects []Subject) keySet {
	set := make(keySet, (len(subjects)+wordBits-1)/wordBits)
	for i := range subjects {
		if Match(e, &subjects[i]) {
			set[i/wordBits] |= 1 << (i % wordBits)
		}
	}
	return set
}

func (k keySet) has(i int) bool { return k[i/wordBits]&(1<<(i%wordBits)) != 0 }

// intersects reports whether two sets over the same subjects have a member in common.
func (k keySet) intersects(o keySet) bool {
	for i := range k {
		if k[i]&o[i] != 0 {
			return true
		}
	}
	return false
}
