package limpetsite

import (
	"maps"
	"slices"
)

// Changes of evacuations.
const (
	ZoneEvacuated   = "zone evacuated"
	ZoneServesAgain = "zone serves again"
)

// beginEvacuation records an operator's request to evacuate an availability zone.
func (s *State) beginEvacuation(r Record) (Change, bool) {
	_, known := s.evacuations[r.Key]
	s.evacuations[r.Key] = *r.Evacuation
	return Change{What: ZoneEvacuated, Name: r.Evacuation.Zone}, !known
}

// endEvacuation forgets the request at a key, if there is one.
func (s *State) endEvacuation(key string) (Change, bool) {
	e, known := s.evacuations[key]
	delete(s.evacuations, key)
	return Change{What: ZoneServesAgain, Name: e.Zone}, known
}

// EndEvacuations ends the evacuations whose keys are not in a complete listing of the
// operator's keys at a revision: their removal was missed.
func (s *State) EndEvacuations(keys map[string]bool, revision uint64) []Change {
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(s.evacuations)) {
		if keys[key] || s.revisions[key] > revision {
			continue
		}
		s.revisions[key] = revision
		if change, ended := s.endEvacuation(key); ended {
			changes = append(changes, change)
		}
	}
	return changes
}

// evacuatedZones returns the availability zones that are to be evacuated.
func (s *State) evacuatedZones() map[string]bool {
	zones := make(map[string]bool, len(s.evacuations))
	for _, e := range s.evacuations {
		zones[e.Zone] = true
	}
	return zones
}

// evacuate returns a copy of a server that gets no new work.
func evacuate(server *Server) *Server {
	evacuated := *server
	evacuated.Draining, evacuated.Evacuated = true, true
	return &evacuated
}

// Evacuated reports whether nothing may be sent to the backend servers of an
// availability zone.
func (s *Snapshot) Evacuated(zone string) bool { return s.evacuated[zone] }

// EvacuatedZones returns the availability zones that are to be evacuated, in order.
func (s *Snapshot) EvacuatedZones() []string { return slices.Sorted(maps.Keys(s.evacuated)) }
