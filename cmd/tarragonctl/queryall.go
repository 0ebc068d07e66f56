package main

import (
	"context"
	"sync"

	"tarragongw/operator"
)

// maxConcurrentQueries is the largest number of routers that are queried at the same time.
const maxConcurrentQueries = 16

// routerAnswer is the answer of one router, or the error if there is none.
type routerAnswer[T any] struct {
	operator.RouterState
	Answer T
	Err    error
}

// queryAll queries all routers that the router at the client's base URL knows of. It
// returns one entry for each of them, in order of name, also for those that don't answer.
func queryAll[T any](ctx context.Context, c *operator.Client, query func(context.Context, *operator.Client) (T, error)) ([]routerAnswer[T], error) {
	routers, err := c.Routers(ctx)
	if err != nil {
		return nil, err
	}
	answers := make([]routerAnswer[T], len(routers))
	slots := make(chan struct{}, maxConcurrentQueries)
	var pending sync.WaitGroup
	for i, router := range routers {
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			answer, err := query(ctx, c.Of(router.Router))
			answers[i] = routerAnswer[T]{RouterState: router, Answer: answer, Err: err}
		})
	}
	pending.Wait()
	return answers, nil
}
