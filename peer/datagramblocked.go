package peer

import "slices"

// DatagramsBlocked returns the names of the routers that sessions reach and datagrams
// don't, although they take them: something in between drops them. Messages to these go
// over sessions, at more bytes each.
func (n *Node) DatagramsBlocked() []string {
	if n.datagrams.conn == nil {
		return nil
	}
	var names []string
	for _, s := range n.sessions() {
		if s.usable() && s.outbound.blocked(n.elapsed(), n.datagrams) {
			names = append(names, s.remote.Name)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// blocked leaves out sessions on which nothing is tried any more.
func (o *outbound) blocked(now int64, d *datagrams) bool {
	o.lock.Lock()
	defer o.lock.Unlock()
	tried := o.unheardSince != 0 && now < o.tryAt+2*int64(d.tryEvery)
	return tried && now-o.unheardSince > int64(d.blockedAfter)
}
