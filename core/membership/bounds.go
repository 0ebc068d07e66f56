package membership

// Limits on data from other routers and from the platform's VM list. Without them a single
// message of one megabyte could name a member whose name is as long as the message, or
// thousands of data centres, and the view would keep them until they expire.
const (
	// MaxName limits the names of routers and data centres, and MaxAddress limits
	// addresses, in bytes.
	MaxName    = 128
	MaxAddress = 256
	// MaxDataCentres limits the number of data centres in the view.
	MaxDataCentres = 256
)

// withinBounds reports whether the member's strings are within their limits.
func (m *Member) withinBounds() bool {
	return len(m.Name) <= MaxName && len(m.DataCentre) <= MaxName && len(m.Address) <= MaxAddress
}

// acceptsDataCentre reports whether the data centre is in the view or can still be added.
func (c *Core) acceptsDataCentre(dc string) bool {
	if len(dc) > MaxName {
		return false
	}
	if len(c.dcs) < MaxDataCentres {
		return true
	}
	for _, d := range c.dcs {
		if d.name == dc {
			return true
		}
	}
	return false
}
