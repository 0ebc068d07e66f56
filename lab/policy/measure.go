package policy

// Parts are the measurements by name, in order.
var Parts = []struct {
	Name string
	Run  func(seed uint64) Table
}{
	{"overload", Overload},
	{"slack", Slack},
	{"fairness", Fairness},
	{"batch", Batch},
	{"saturation", Saturation},
	{"choice", Choice},
	{"hedge", Hedge},
	{"rebalance", Rebalance},
}

// Measure runs the part with the name, or all for the empty name, with a seed.
func Measure(seed uint64, part string) Table {
	var t Table
	for _, p := range Parts {
		if part == "" || part == p.Name {
			t = append(t, p.Run(seed)...)
		}
	}
	return t
}
