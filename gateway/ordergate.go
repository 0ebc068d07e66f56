package gateway

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errOrdersEnded is why an order is not given by a leader that has begun to end its lease.
var errOrdersEnded = errors.New("the leader ends its lease")

// orderGate lets the orders of a term pass until it is shut.
type orderGate struct {
	ctx    context.Context
	cancel context.CancelFunc
	// mu guards closed, and keeps orders from entering while shut waits for those under way.
	mu       sync.Mutex
	closed   bool
	underWay sync.WaitGroup
}

// open lets orders pass for as long as ctx.
func (o *orderGate) open(ctx context.Context) { o.ctx, o.cancel = context.WithCancel(ctx) }

// enter returns the context of an order, or an error if the gate is shut. done must be called in any case, once the order has ended.
func (o *orderGate) enter() (ctx context.Context, done func(), err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return o.ctx, func() {}, errOrdersEnded
	}
	o.underWay.Add(1)
	return o.ctx, o.underWay.Done, nil
}

// shut lets no more orders pass, cancels those under way and waits until they have ended, so that nothing of them is written
// afterwards.
func (o *orderGate) shut() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.underWay.Wait()
}
