package routes

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// maxNamedChanges bounds how many routes of a kind Changes.String names.
const maxNamedChanges = 12

// Changes are the routes in which a configuration differs from the one before, by their names.
type Changes struct {
	Added, Removed []string
	// Moved routes go to other services, or in other shares.
	Moved []string
	// Timeouts are the routes with another timeout, each with the earlier and the present one.
	Timeouts []string
	// Others differ in something else.
	Others []string
}

// ChangesSince returns in which routes the configuration differs from the one before; nil for none, of which all are new.
func (c *Config) ChangesSince(before *Config) Changes {
	earlier := map[string]*Route{}
	if before != nil {
		for i := range before.Routes {
			earlier[before.Routes[i].Name] = &before.Routes[i]
		}
	}
	var found Changes
	for i := range c.Routes {
		r := &c.Routes[i]
		if old := earlier[r.Name]; old == nil {
			found.Added = append(found.Added, r.Name)
		} else {
			found.compare(old, r)
		}
		delete(earlier, r.Name)
	}
	for name := range earlier {
		found.Removed = append(found.Removed, name)
	}
	slices.Sort(found.Removed)
	return found
}

func (c *Changes) compare(old, r *Route) {
	if !slices.Equal(old.Shares, r.Shares) {
		c.Moved = append(c.Moved, r.Name)
	}
	if old.Timeout != r.Timeout {
		c.Timeouts = append(c.Timeouts, fmt.Sprintf("%s %v->%v", r.Name, old.Timeout, r.Timeout))
	}
	rest := *old
	rest.Shares, rest.Timeout = r.Shares, r.Timeout
	if !reflect.DeepEqual(&rest, r) {
		c.Others = append(c.Others, r.Name)
	}
}

// String returns the changes as log lines have them.
func (c Changes) String() string {
	var parts []string
	for _, kind := range []struct {
		name   string
		routes []string
	}{{"added", c.Added}, {"removed", c.Removed}, {"moved", c.Moved}, {"timeouts", c.Timeouts}, {"others", c.Others}} {
		if len(kind.routes) == 0 {
			continue
		}
		part := kind.name + ": " + strings.Join(kind.routes[:min(len(kind.routes), maxNamedChanges)], ", ")
		if more := len(kind.routes) - maxNamedChanges; more > 0 {
			part += fmt.Sprintf(" and %d more", more)
		}
		parts = append(parts, part)
	}
	return strings.Join(parts, "; ")
}
