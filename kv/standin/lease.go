package standin

import (
	"time"

	"tarragongw/kv"
)

// lease is the store's side of a lease.
type lease struct {
	holder  string
	id      uint64
	ttl     time.Duration
	expires time.Time
}

// acquireLocked gives the lease to holder where it is free, lapsed or its own.
// Its own is given anew under a new id: a holder whose first reply was lost, or
// that restarted under its name, gets in, and the earlier life is out.
func (p *Platform) acquireLocked(name, holder string, ttl time.Duration) (kv.Lease, error) {
	if name == "" || holder == "" || ttl <= 0 {
		return kv.Lease{}, kv.ErrInvalid
	}
	now := p.cfg.Now()
	held, ok := p.leases[name]
	if ok && held.holder != holder && now.Before(held.expires) {
		return kv.Lease{}, kv.ErrLeaseLost
	}
	p.leaseID++
	p.leases[name] = lease{holder: holder, id: p.leaseID, ttl: ttl, expires: now.Add(ttl)}
	return kv.Lease{Name: name, Holder: holder, ID: p.leaseID, TTL: ttl}, nil
}

func (p *Platform) renewLocked(l kv.Lease) (kv.Lease, error) {
	now := p.cfg.Now()
	held, ok := p.leases[l.Name]
	if !ok || held.id != l.ID || !now.Before(held.expires) {
		return kv.Lease{}, kv.ErrLeaseLost
	}
	held.expires = now.Add(held.ttl)
	p.leases[l.Name] = held
	l.Holder, l.TTL = held.holder, held.ttl
	return l, nil
}

func (p *Platform) releaseLocked(l kv.Lease) error {
	held, ok := p.leases[l.Name]
	if !ok || held.id != l.ID {
		return kv.ErrLeaseLost
	}
	delete(p.leases, l.Name)
	return nil
}

// LapseLease ends the lease at once while its holder still believes in it.
func (p *Platform) LapseLease(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.leases, name)
}
