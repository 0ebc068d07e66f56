package policy

import "golang.org/x/sync/errgroup"

// workers bounds the runs at one time. Each run has its own random source, so the
// order in which they end changes nothing.
const workers = 4

// each runs f for 0..n-1 and returns the results in order.
func each[T any](n int, f func(i int) T) []T {
	results := make([]T, n)
	var group errgroup.Group
	group.SetLimit(workers)
	for i := range n {
		group.Go(func() error {
			results[i] = f(i)
			return nil
		})
	}
	_ = group.Wait()
	return results
}
