package membership

import "time"

const (
	// maxNoticeVMs limits the VMs in one notice. More occur only when a whole fleet starts,
	// and then each router reads the list itself.
	maxNoticeVMs = 64
	// maxNoticeAge is the age above which a list that was passed on is ignored.
	maxNoticeAge = time.Minute
)

// Notice selects the entries of the platform's VM list that other routers of this data
// centre cannot know from the member view: VMs that are not members, and members that are
// about to leave. Entries that every router knows are left out, so that the notice does not
// grow with the fleet.
func (c *Core) Notice(vms []ListedVM) []ListedVM {
	var out []ListedVM
	for _, vm := range vms {
		r := c.byName[vm.Name]
		member := r != nil && isLive(r.state)
		if member && !vm.Leaving || member && r.DataCentre != c.self.DataCentre {
			continue
		}
		if len(out) == maxNoticeVMs {
			break
		}
		out = append(out, vm)
	}
	return out
}

// receiveNotice applies a list extract that another router read. It names VMs to contact
// and VMs that are about to leave. It is never evidence against a member: only a list that
// this router reads itself can show that a member was removed from it, since the delay of a
// notice is unknown.
func (c *Core) receiveNotice(e *NoticeReceived) {
	at := c.now.Add(-e.Age)
	if e.Age > maxNoticeAge || at.Before(c.listAt) || at.Before(c.noticeAt) {
		return
	}
	c.noticeAt = at
	named := make(map[string]*ListedVM, len(e.VMs))
	for i := range e.VMs {
		named[e.VMs[i].Name] = &e.VMs[i]
	}
	for _, r := range c.byNameOrder() {
		vm := named[r.Name]
		if r.state == Unknown {
			r.listed = vm != nil
		}
		if r.DataCentre == c.self.DataCentre {
			c.setPlatformLeaving(r, vm != nil && vm.Leaving)
		}
	}
	for i := range e.VMs {
		c.applyListedVM(&e.VMs[i])
	}
}
