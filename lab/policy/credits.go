package policy

import "time"

const (
	// creditIdle is how long a router keeps a credit without use.
	creditIdle = 20 * time.Millisecond
	// creditQueue bounds the waiting jobs of one router for one target.
	creditQueue = 32
)

// credits is the baseline in which a target's grantor lends its slots to the
// routers on demand. A credit goes back when it is idle or called back.
type credits struct {
	sim     *sim
	servers []*server
	ends    ends
	lenders []*lender
}

// lender is the grantor's account of one target.
type lender struct {
	free    int
	waiting []*borrower
	lent    []*borrower
}

// borrower is one router's queue for one target.
type borrower struct {
	router, target int
	queue          []*job
	// idle and busy count its credits, asked its open requests for more, and recalled
	// the credits that it must give back.
	idle, busy, asked, recalled int
	version                     int
}

func newCredits(s *sim, servers []*server, e ends) *credits {
	p := &credits{sim: s, servers: servers, ends: e}
	for target, v := range servers {
		l := &lender{free: v.slots}
		for r := range routers {
			l.lent = append(l.lent, &borrower{router: r, target: target})
		}
		p.lenders = append(p.lenders, l)
	}
	return p
}

func (p *credits) offer(j *job) {
	b := p.lenders[j.target].lent[j.router]
	if len(b.queue) >= creditQueue {
		p.ends.refuse(j)
		return
	}
	b.queue = append(b.queue, j)
	p.pump(b)
}

// pump uses idle credits and asks for more.
func (p *credits) pump(b *borrower) {
	wire := delay(b.router, b.target)
	for b.idle > 0 && len(b.queue) > 0 {
		j := b.queue[0]
		b.queue = b.queue[1:]
		if j.deadline > 0 && p.sim.now+wire+2*meanService >= j.deadline {
			p.ends.refuse(j)
			continue
		}
		b.idle--
		b.busy++
		p.send(b, j, wire)
	}
	for b.asked < min(len(b.queue), p.servers[b.target].slots) {
		b.asked++
		p.sim.after(wire, func() { p.ask(b) })
	}
}

func (p *credits) send(b *borrower, j *job, wire time.Duration) {
	p.sim.after(wire, func() {
		p.servers[b.target].send(j, func(f fate) {
			p.sim.after(wire, func() {
				if f == fateAnswered {
					p.ends.answer(j)
				} else {
					p.ends.fail(j)
				}
				b.busy--
				b.idle++
				p.giveBack(b)
				p.pump(b)
				p.watchIdle(b)
			})
		})
	})
}

// giveBack returns the credits that were called back.
func (p *credits) giveBack(b *borrower) {
	for b.recalled > 0 && b.idle > 0 {
		b.recalled--
		p.handIn(b)
	}
}

func (p *credits) handIn(b *borrower) {
	b.idle--
	p.sim.after(delay(b.router, b.target), func() {
		l := p.lenders[b.target]
		l.free++
		p.lend(l)
	})
}

// watchIdle hands a credit in that stays without use.
func (p *credits) watchIdle(b *borrower) {
	b.version++
	version := b.version
	p.sim.after(creditIdle, func() {
		for version == b.version && b.idle > 0 {
			p.handIn(b)
		}
	})
}

// ask arrives at the lender, who calls credits back where none is free.
func (p *credits) ask(b *borrower) {
	l := p.lenders[b.target]
	l.waiting = append(l.waiting, b)
	if l.free == 0 {
		p.recall(l, b)
	}
	p.lend(l)
}

// recall asks the router with the most credits to give one back.
func (p *credits) recall(l *lender, asker *borrower) {
	var most *borrower
	for _, holder := range l.lent {
		has := holder.idle + holder.busy - holder.recalled
		if holder != asker && has > 0 && (most == nil || has > most.idle+most.busy-most.recalled) {
			most = holder
		}
	}
	if most == nil {
		return
	}
	// Noted at once, so that the next asker calls another one; the holder acts on it
	// when the message arrives or at its next end of work, whichever is first.
	most.recalled++
	p.sim.after(delay(most.router, most.target), func() { p.giveBack(most) })
}

func (p *credits) lend(l *lender) {
	for l.free > 0 && len(l.waiting) > 0 {
		l.free--
		b := l.waiting[0]
		l.waiting = l.waiting[1:]
		if len(l.waiting) > 0 {
			// Others wait: the credit is for one job.
			b.recalled++
		}
		p.sim.after(delay(b.router, b.target), func() {
			b.asked--
			b.idle++
			p.pump(b)
			p.giveBack(b)
			p.watchIdle(b)
		})
	}
}
