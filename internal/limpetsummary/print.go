package limpetsummary

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Print writes a state as tables. Ages are relative to now.
func Print(w io.Writer, s State, now time.Time) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	c := s.Configuration
	fmt.Fprintf(t, "configuration\tversion %d\t%d routes\t%d services\t%d client accounts\n", c.Version, c.Routes, c.Services, c.Accounts)
	fmt.Fprintf(t, "named versions\t%s\n", formatVersions(c.Named))
	if len(c.Retiring) > 0 {
		fmt.Fprintf(t, "retiring VMs\t%s\n", strings.Join(c.Retiring, ", "))
	}
	if s.Director.VM == "" {
		fmt.Fprintf(t, "director\tnone, last %s\n", s.Director.Last)
	} else {
		fmt.Fprintf(t, "director\t%s\tfence %d\tat %s\n", s.Director.VM, s.Director.Fence, s.Director.Address)
	}
	fmt.Fprintf(t, "\nserver\tservice\tzone\tslots\tstate\tversions\n")
	for _, v := range s.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\n", v.ID, v.Service, v.Zone, v.Slots, v.stateText(), formatVersions(v.Versions))
	}
	fmt.Fprintf(t, "\njob\taccount\tage\tlisted\terrored\tstate\tgroups\tstragglers\n")
	for _, j := range s.Jobs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d of %d\t%d\t%s\t%d of %d\t%s\n", j.ID, j.Account, now.Sub(j.Arrived).Round(time.Second),
			j.Listed, j.Total, j.Errored, j.stateText(), j.Whole, j.Groups, strings.Join(j.Stragglers, " "))
	}
	fmt.Fprintf(t, "\nrequest\taccount\tstate\ttrials\tlast crash\tattempt\tservers\n")
	for _, x := range s.Suspects {
		state := "suspected"
		if x.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s ago\t%s\t%s\n", x.Name, x.Account, state, x.Trials, now.Sub(x.Last).Round(time.Second), x.Request, strings.Join(x.Servers, " "))
	}
	fmt.Fprintf(t, "\nusage window\tclient accounts\trequests\n")
	for _, v := range s.Windows {
		fmt.Fprintf(t, "%d\t%d\t%d\n", v.Number, v.Accounts, v.Requests)
	}
	return t.Flush()
}

func (v Server) stateText() string {
	switch {
	case v.Evacuated && v.Cold:
		return "evacuated, cold"
	case v.Evacuated:
		return "evacuated"
	case v.Draining:
		return "draining"
	case v.Spot && v.Cold:
		return "reclaimable, cold"
	case v.Spot:
		return "reclaimable"
	case v.Cold:
		return "in use, cold"
	default:
		return "in use"
	}
}

func (j Job) stateText() string {
	switch {
	case j.Ended:
		return "ended"
	case j.Listed >= j.Total:
		return "whole"
	default:
		return "open"
	}
}
