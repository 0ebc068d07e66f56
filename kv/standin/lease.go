package standin

import (
	"time"

	"tarragongw/kv"
)

// leaseState is the state of a lease in the store.
type leaseState struct {
	holder  string
	id      uint64
	ttl     time.Duration
	expires time.Time
}

// acquireLocked grants the lease to holder if it is free, expired or already held by
// holder. In the last case the lease gets a new id: a holder whose first reply was
// lost, or that has restarted, gets the lease, and the earlier instance loses it.
func (p *Platform) acquireLocked(name, holder string, ttl time.Duration) (kv.Lease, error) {
	if name == "" || holder == "" || ttl <= 0 {
		return kv.Lease{}, kv.ErrInvalid
	}
	now := p.cfg.Now()
	current, ok := p.leases[name]
	if ok && current.holder != holder && now.Before(current.expires) {
		return kv.Lease{}, kv.ErrLeaseLost
	}
	p.leaseID++
	p.leases[name] = leaseState{holder: holder, id: p.leaseID, ttl: ttl, expires: now.Add(ttl)}
	return kv.Lease{Name: name, Holder: holder, ID: p.leaseID, TTL: ttl}, nil
}

func (p *Platform) renewLocked(l kv.Lease) (kv.Lease, error) {
	now := p.cfg.Now()
	current, ok := p.leases[l.Name]
	if !ok || current.id != l.ID || !now.Before(current.expires) {
		return kv.Lease{}, kv.ErrLeaseLost
	}
	current.expires = now.Add(current.ttl)
	p.leases[l.Name] = current
	l.Holder, l.TTL = current.holder, current.ttl
	return l, nil
}

func (p *Platform) releaseLocked(l kv.Lease) error {
	current, ok := p.leases[l.Name]
	if !ok || current.id != l.ID {
		return kv.ErrLeaseLost
	}
	delete(p.leases, l.Name)
	return nil
}

// ExpireLease ends the lease immediately, without notice to its holder.
func (p *Platform) ExpireLease(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.leases, name)
}
