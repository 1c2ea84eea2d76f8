package limpetsite

import (
	"crypto/sha256"
	"slices"
	"strings"
)

// A Snapshot is an immutable view of the deployment.
type Snapshot struct {
	// Revision is the store revision of the configuration in use.
	Revision uint64
	// Config is nil until a configuration has been loaded.
	Config *Config
	// PublishedVersions holds the newest published weight version by model, and
	// Retiring the retirements by VM.
	PublishedVersions map[string]int
	Retiring          map[string]Retirement

	hosts    map[string][]*Route
	named    map[string]*Route
	keys     map[[sha256.Size]byte]*Account
	services map[string]*Service
	servers  map[string][]*Server
	byID     map[string]*Server
	// lasting holds, by service, the servers for new streams; see LastingServers.
	lasting map[string][]*Server
	// leaving holds the incarnations of servers that said that they are leaving, by
	// ID.
	leaving map[string]int64
	// evacuated holds the availability zones that are to be evacuated.
	evacuated map[string]bool
	// regions holds the region of each availability zone.
	regions map[string]string
	// former holds earlier starts of servers.
	former formerStarts
	// latest holds the server that started last at each address.
	latest map[string]*Server
}

// EmptySnapshot returns a snapshot without a configuration or servers.
func EmptySnapshot() *Snapshot { return index(&Snapshot{}) }

// index builds the lookup tables of s.
func index(s *Snapshot) *Snapshot {
	s.hosts = map[string][]*Route{}
	s.named = map[string]*Route{}
	s.keys = map[[sha256.Size]byte]*Account{}
	s.services = map[string]*Service{}
	if s.Config == nil {
		return s
	}
	for i := range s.Config.Routes {
		r := &s.Config.Routes[i]
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
		s.named[r.Name] = r
	}
	for _, routes := range s.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range s.Config.Accounts {
		a := &s.Config.Accounts[i]
		for _, k := range a.Keys {
			s.keys[k] = a
		}
	}
	for i := range s.Config.Services {
		s.services[s.Config.Services[i].Name] = &s.Config.Services[i]
	}
	return s
}

// Ready reports whether a configuration has been loaded.
func (s *Snapshot) Ready() bool { return s.Config != nil }

// Route returns the route of a host whose prefix is the longest that path
// starts with, or nil. The host may include a port.
func (s *Snapshot) Route(host, path string) *Route {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, r := range s.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RouteNamed returns the route of a name, or nil.
func (s *Snapshot) RouteNamed(name string) *Route { return s.named[name] }

// NeedsKeys reports whether requests need an API key, which they do if the
// configuration has client accounts.
func (s *Snapshot) NeedsKeys() bool { return s.Config != nil && len(s.Config.Accounts) > 0 }

// Account returns the account that an API key belongs to, or nil.
func (s *Snapshot) Account(key string) *Account {
	h := HashKey(key)
	a := s.keys[h]
	if a == nil {
		return nil
	}
	for _, k := range a.Keys {
		if equalHashes(k, h) {
			return a
		}
	}
	return nil
}

// Priority returns the priority of an account's requests on a route; one set
// for the account takes precedence.
func (s *Snapshot) Priority(account string, route *Route) int {
	if s.Config != nil {
		for i := range s.Config.Accounts {
			if a := &s.Config.Accounts[i]; a.Name == account && a.HasPriority {
				return a.Priority
			}
		}
	}
	return route.Priority
}

// Service returns the configuration of a service, or nil.
func (s *Snapshot) Service(name string) *Service { return s.services[name] }

// Servers returns the servers of a service that may get new work. The slice is
// shared and must not be modified.
func (s *Snapshot) Servers(service string) []*Server { return s.servers[service] }

// LastingServers returns the servers of a service that accept work and whose
// software other servers can go on with: at least one more accepts work, and none
// is leaving. It is empty if no software is like that.
func (s *Snapshot) LastingServers(service string) []*Server { return s.lasting[service] }

// ServersOf returns the servers that accept work and run a given software.
func (s *Snapshot) ServersOf(software Software) []*Server {
	var running []*Server
	for _, server := range s.servers[software.Service()] {
		if server.Software == software {
			running = append(running, server)
		}
	}
	return running
}

// indexLasting fills lasting.
func (s *Snapshot) indexLasting() {
	leaving := map[Software]bool{}
	for _, server := range s.byID {
		if server.Draining && !server.Evacuated {
			leaving[server.Software] = true
		}
	}
	for service, servers := range s.servers {
		if sameSoftware(servers) {
			// Most services run one version. Their servers last as one.
			if len(servers) > 1 && !leaving[servers[0].Software] {
				s.lasting[service] = servers
			}
			continue
		}
		staying := map[Software]int{}
		for _, server := range servers {
			staying[server.Software]++
		}
		for _, server := range servers {
			if staying[server.Software] > 1 && !leaving[server.Software] {
				s.lasting[service] = append(s.lasting[service], server)
			}
		}
	}
}

func sameSoftware(servers []*Server) bool {
	for _, server := range servers {
		if server.Software != servers[0].Software {
			return false
		}
	}
	return true
}

// Server returns the server with the given ID, draining or not, or nil.
func (s *Snapshot) Server(id string) *Server { return s.byID[id] }

// Successor returns the server that started later than s at its address, which
// proves that s has ended; nil if none did.
func (s *Snapshot) Successor(server *Server) *Server {
	if latest := s.latest[server.Address]; latest != nil && latest.ID != server.ID && latest.Incarnation > server.Incarnation {
		return latest
	}
	return nil
}

// Pick selects one of a route's services by weight, from a random number between 0 and
// 1. While some of them have servers that may get new work in the regions that homes
// allow, it selects one of those.
func (s *Snapshot) Pick(r *Route, h Homes, random float64) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	var staffed Route
	for _, t := range r.Targets {
		if t.Weight > 0 && len(s.ServersIn(h, s.servers[t.Service])) > 0 {
			staffed.Targets = append(staffed.Targets, t)
		}
	}
	if len(staffed.Targets) == 0 {
		return r.Pick(random)
	}
	return staffed.Pick(random)
}

// AllServers returns all servers by ID, including draining ones. The map is
// shared and must not be modified.
func (s *Snapshot) AllServers() map[string]*Server { return s.byID }

// AcceptsWork reports whether a server may get new work.
func (s *Snapshot) AcceptsWork(id string) bool {
	v := s.byID[id]
	return v != nil && !v.Draining
}
