// Package limpetsummary summarizes the content of a prepared platform's store
// for operators: the active configuration, backend servers, the VM that holds
// the director's lease, batch jobs with their unfinished items, requests that
// crashed servers, and usage windows. It never writes to the store.
package limpetsummary

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"limpetmount.org/internal/limpetcrash"
	"limpetmount.org/internal/limpetdirector"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethost"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlease"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetwindow"
)

// maxStragglers limits the unfinished items that are listed for one job.
const maxStragglers = 8

// A State summarizes the content of the store.
type State struct {
	Configuration Configuration
	Director      Director
	Servers       []Server
	Jobs          []Job
	// Suspects holds the requests that crashed backend servers.
	Suspects []limpetcrash.Suspect
	// Windows holds the frozen usage windows, newest first.
	Windows []Window
}

// A Configuration summarizes the active configuration.
type Configuration struct {
	Version                    uint64
	Routes, Services, Accounts int
	// Named holds the latest published weight version of each model.
	Named map[string]int
	// Retiring holds the VMs that are being decommissioned.
	Retiring []string
}

// A Director describes the holder of the director's lease and its fencing
// token. VM is empty when the lease is free. Last is the VM that held the lease
// last, and Address is that VM's address.
type Director struct {
	VM      string
	Fence   uint64
	Last    string
	Address string
}

// A Server is a backend server with the weight version of each model.
type Server struct {
	ID, Service, Zone string
	Slots             int
	Draining, Spot    bool
	// Evacuated servers get nothing because their availability zone is to be
	// evacuated, and Cold ones few requests because their entry says that they are
	// cold, or they started lately and it says nothing.
	Evacuated, Cold bool
	Versions        map[string]int
}

// A Job is an accepted batch job whose records are still in the store.
type Job struct {
	ID, Account   string
	Arrived       time.Time
	Total, Listed int
	Errored       int
	Ended         bool
	// Groups is the number of groups, and Whole the number of those whose items
	// all have a result. Stragglers lists items without a result. The three are
	// left empty for jobs that have ended or are complete.
	Groups, Whole int
	Stragglers    []string
}

// A Window is a frozen usage window.
type Window struct {
	Number   int64
	Accounts int
	Requests int
}

// Read summarizes the content of a store. Feeds decode the records that the
// operator, trainers and engines write.
func Read(ctx context.Context, store limpetstore.Store, feeds []limpethost.Feed, now time.Time) (State, error) {
	var s State
	view := limpetsite.NewState()
	for _, f := range feeds {
		l, err := store.Scan(ctx, f.Prefix, "")
		if err != nil {
			return State{}, err
		}
		for _, v := range l.Values {
			view.Apply(f.Decode(v), now)
		}
	}
	s.addSite(view.Snapshot(), now)
	for _, read := range []func(context.Context, limpetstore.Store) error{s.readDirector, s.readJobs, s.readWindows} {
		if err := read(ctx, store); err != nil {
			return State{}, err
		}
	}
	var err error
	if s.Suspects, err = limpetcrash.ReadSuspects(ctx, store, now); err != nil {
		return State{}, err
	}
	return s, nil
}

func (s *State) addSite(view *limpetsite.Snapshot, now time.Time) {
	s.Configuration.Named = view.PublishedVersions
	for vm := range view.Retiring {
		s.Configuration.Retiring = append(s.Configuration.Retiring, vm)
	}
	slices.Sort(s.Configuration.Retiring)
	if c := view.Config; c != nil {
		s.Configuration.Version = c.Version
		s.Configuration.Routes, s.Configuration.Services, s.Configuration.Accounts = len(c.Routes), len(c.Services), len(c.Accounts)
	}
	for _, v := range view.AllServers() {
		s.Servers = append(s.Servers, Server{
			ID: v.ID, Service: v.Service, Zone: v.Zone, Slots: v.Slots, Draining: v.Draining, Spot: v.Spot, Versions: v.Models,
			Evacuated: v.Evacuated, Cold: isCold(v, view.Service(v.Service), now),
		})
	}
	slices.SortFunc(s.Servers, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.ID, b.ID))
	})
}

// isCold reports whether a server counts as cold by what the store holds. VMs may know
// more, from the server's answers.
func isCold(s *limpetsite.Server, service *limpetsite.Service, now time.Time) bool {
	switch {
	case !service.MayBeCold():
		return false
	case s.Cold.Known:
		return s.Cold.Left > 0
	default:
		return s.Incarnation != 0 && now.Before(time.UnixMilli(s.Incarnation).Add(service.ColdStart))
	}
}

func (s *State) readDirector(ctx context.Context, store limpetstore.Store) error {
	v, err := store.Get(ctx, limpetlease.Prefix+limpetdirector.DutyName)
	if err != nil && !limpeterror.Is(err, limpeterror.NotFound) {
		return err
	}
	if err == nil {
		var r limpetlease.Record
		if err := json.Unmarshal(v.Data, &r); err != nil {
			return limpeterror.Invalid.Wrap(err, "value of %s", v.Key)
		}
		s.Director.VM, s.Director.Fence = r.Holder, v.Revision
	}
	term, err := limpetdirector.ReadTerm(ctx, store)
	if err != nil {
		return err
	}
	s.Director.Last, s.Director.Address = term.VM, term.Address
	return nil
}

func (s *State) readJobs(ctx context.Context, store limpetstore.Store) error {
	ended := map[string]bool{}
	l, err := store.Scan(ctx, limpetjob.EndPrefix, "")
	if err != nil {
		return err
	}
	for _, v := range l.Values {
		ended[strings.TrimPrefix(v.Key, limpetjob.EndPrefix)] = true
	}
	if l, err = store.Scan(ctx, limpetjob.OpenPrefix, ""); err != nil {
		return err
	}
	for _, v := range l.Values {
		summary, err := limpetjob.DecodeSummary(v)
		if err != nil {
			return err
		}
		j := Job{ID: summary.ID, Account: summary.Account, Arrived: summary.Arrived, Total: summary.Total, Ended: ended[summary.ID]}
		if err := j.readResults(ctx, store, summary); err != nil {
			return err
		}
		s.Jobs = append(s.Jobs, j)
	}
	slices.SortFunc(s.Jobs, func(a, b Job) int { return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID)) })
	return nil
}

// readResults fills in the listed results, and the groups of a job that is
// neither ended nor complete.
func (j *Job) readResults(ctx context.Context, store limpetstore.Store, summary limpetjob.Summary) error {
	results, err := limpetjob.LoadResults(ctx, store, summary.ID)
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, r := range results {
		listed[r.ID] = true
		if r.State == limpetjob.Errored {
			j.Errored++
		}
	}
	j.Listed = len(results)
	if j.Ended || j.Listed >= j.Total {
		return nil
	}
	job, err := limpetjob.Load(ctx, store, summary)
	if err != nil {
		return err
	}
	open, groups := map[string]bool{}, map[string]bool{}
	for _, item := range job.Items {
		group := cmp.Or(item.Group, item.ID)
		groups[group] = true
		if listed[item.ID] {
			continue
		}
		open[group] = true
		if len(j.Stragglers) < maxStragglers {
			j.Stragglers = append(j.Stragglers, item.ID)
		}
	}
	j.Groups, j.Whole = len(groups), len(groups)-len(open)
	return nil
}

func (s *State) readWindows(ctx context.Context, store limpetstore.Store) error {
	frozen, err := limpetwindow.ReadFrozen(ctx, store)
	if err != nil {
		return err
	}
	for number, counts := range frozen {
		w := Window{Number: number, Accounts: len(counts)}
		for _, n := range counts {
			w.Requests += n
		}
		s.Windows = append(s.Windows, w)
	}
	slices.SortFunc(s.Windows, func(a, b Window) int { return cmp.Compare(b.Number, a.Number) })
	return nil
}

// formatVersions formats weight versions, sorted by model.
func formatVersions(all map[string]int) string {
	var parts []string
	for model, v := range all {
		parts = append(parts, model+" "+strconv.Itoa(v))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}
