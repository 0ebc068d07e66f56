package admission

import (
	"container/heap"
	"time"
)

// entry is one item that the Gate holds, queued or in flight.
type entry struct {
	item   Item
	caller *flow
	// cost is the estimated slot time that is charged when the item starts, in seconds.
	cost float64
	// creditRate is what one second of the item's slot time adds to the batch credit.
	creditRate float64
	// latestStart is the time from which on the item can no longer meet its deadline; zero
	// means never.
	latestStart time.Time
	// expiryIndex is the index in the expiry heap, or -1.
	expiryIndex int
	// queued is true while the item waits and false once it is in flight; prev and next
	// link the caller's waiting items.
	queued     bool
	prev, next *entry
}

// expiryHeap orders waiting items by latestStart.
type expiryHeap []*entry

func (h expiryHeap) Len() int { return len(h) }

func (h expiryHeap) Less(i, j int) bool {
	if !h[i].latestStart.Equal(h[j].latestStart) {
		return h[i].latestStart.Before(h[j].latestStart)
	}
	return h[i].item.ID < h[j].item.ID
}

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.expiryIndex = -1
	return e
}

func (g *Gate) leaveQueue(e *entry) {
	e.queued = false
	if e.expiryIndex >= 0 {
		heap.Remove(&g.expiries, e.expiryIndex)
	}
}

func (g *Gate) newEntry(item Item) *entry {
	e := g.free
	if e == nil {
		e = &entry{}
	} else {
		g.free = e.next
	}
	*e = entry{item: item, expiryIndex: -1}
	return e
}

func (g *Gate) freeEntry(e *entry) {
	*e = entry{next: g.free}
	g.free = e
}
