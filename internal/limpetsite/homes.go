package limpetsite

import (
	"slices"
	"strings"
)

// Homes says in which regions a request may run. The zero Homes allows all. Homes can be
// compared with ==.
type Homes struct {
	bound bool
	// regions holds the names, each between two commas.
	regions string
}

// NewHomes returns the homes that allow the given regions only.
func NewHomes(regions ...string) Homes {
	sorted := slices.Compact(slices.Sorted(slices.Values(regions)))
	return Homes{bound: true, regions: "," + strings.Join(sorted, ",") + ","}
}

// Bound reports whether only some regions are allowed.
func (h Homes) Bound() bool { return h.bound }

// Allows reports whether a region is allowed. One without a name is none.
func (h Homes) Allows(region string) bool {
	return !h.bound || (region != "" && strings.Contains(h.regions, ","+region+","))
}

// String returns the allowed regions, for logs and messages.
func (h Homes) String() string { return strings.Trim(h.regions, ",") }

// ParseHomes returns the homes with the given String.
func ParseHomes(bound bool, text string) Homes {
	switch {
	case !bound:
		return Homes{}
	case text == "":
		return NewHomes()
	}
	return NewHomes(strings.Split(text, ",")...)
}

// HomesOf returns the homes of a route's requests for an account. Where both have homes,
// both apply.
func HomesOf(route *Route, account *Account) Homes {
	var own []string
	if account != nil {
		own = account.Homes
	}
	switch {
	case len(route.Homes) == 0 && len(own) == 0:
		return Homes{}
	case len(own) == 0:
		return NewHomes(route.Homes...)
	case len(route.Homes) == 0:
		return NewHomes(own...)
	}
	return NewHomes(slices.DeleteFunc(slices.Clone(own), func(r string) bool { return !slices.Contains(route.Homes, r) })...)
}

// AccountNamed returns the account of a name, or nil.
func (s *Snapshot) AccountNamed(name string) *Account {
	if s.Config == nil || name == "" {
		return nil
	}
	for i := range s.Config.Accounts {
		if a := &s.Config.Accounts[i]; a.Name == name {
			return a
		}
	}
	return nil
}

// InHomes reports whether an availability zone lies in a region that homes allow.
func (s *Snapshot) InHomes(h Homes, zone string) bool {
	return !h.bound || h.Allows(s.regions[zone])
}

// ServersIn returns those of some servers that lie in the regions that homes allow.
func (s *Snapshot) ServersIn(h Homes, servers []*Server) []*Server {
	if !h.bound {
		return servers
	}
	var home []*Server
	for _, server := range servers {
		if s.InHomes(h, server.Zone) {
			home = append(home, server)
		}
	}
	return home
}

// CurrentHomes returns the homes of a route's requests for an account as the
// configuration in this view has them, or as given if it has no such route.
func (s *Snapshot) CurrentHomes(route *Route, account *Account) Homes {
	if current := s.RouteNamed(route.Name); current != nil {
		route = current
	}
	if account != nil {
		if current := s.AccountNamed(account.Name); current != nil {
			account = current
		}
	}
	return HomesOf(route, account)
}
