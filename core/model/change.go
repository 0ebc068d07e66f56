package model

import "fmt"

// ValidateChange returns a problem for each property that must not differ between
// an accepted revision and its successor. The division and the number of hash slots
// of a service cannot be changed after its creation: with another number of slots,
// every key would belong to another unit at once, while routers that still have the
// old revision would send its requests to the old owner.
func ValidateChange(old, new *Model) []Problem {
	var problems []Problem
	for i := range new.Services {
		s := &new.Services[i]
		previous := old.Service(s.Name)
		if previous == nil {
			continue
		}
		add := func(field, text string) {
			problems = append(problems, Problem{
				Object: Ref{KindService, s.Name}, Field: field, Text: text,
				Fix: "create a service with another name and hand requests to it with to_service",
			})
		}
		if s.Division != previous.Division {
			add("division", fmt.Sprintf("it is fixed for life and was %s", previous.Division))
		} else if s.HashSlots != previous.HashSlots {
			add("hash_slots", fmt.Sprintf("it is fixed for life and was %d", previous.HashSlots))
		}
	}
	return problems
}
