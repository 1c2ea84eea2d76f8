package limpetnode

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"limpetmount.org/internal/limpetbuild"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetfleet"
	"limpetmount.org/internal/limpetlang"
	"limpetmount.org/internal/limpetoperator"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetusage"
	"limpetmount.org/internal/limpetwire"
)

// localTable returns this VM's rows of a table that is spread over all VMs.
func (n *Node) localTable(entity string) *limpetwire.Table {
	switch entity {
	case "vm":
		return limpetoperator.EncodeTable(n.vmTable())
	case "request":
		return limpetoperator.EncodeTable(n.requestTable())
	case "lease":
		return limpetoperator.EncodeTable(n.leaseTable())
	case "quarantine":
		return limpetoperator.EncodeTable(n.quarantineTable())
	case "usage":
		return limpetoperator.EncodeTable(n.usageTable())
	default:
		return &limpetwire.Table{}
	}
}

func (n *Node) vmTable() limpetlang.Table {
	v := n.View()
	open := 0
	for _, count := range n.frontend.OpenRequests() {
		open += count
	}
	var age int64
	n.withControl(func(c *control) { age = time.Since(c.confirmedAt).Milliseconds() })
	return limpetlang.Table{
		Columns: []string{"vm", "zone", "ready", "index", "confirmed_ms", "store", "members", "requests", "build"},
		Rows: [][]limpetlang.Cell{{
			limpetlang.Text(n.self.Name), limpetlang.Text(n.self.Zone), limpetlang.Text(fmt.Sprint(v.Ready())),
			limpetlang.Number(v.Config.Index), limpetlang.Number(age), limpetlang.Text(formatUpDown(v.StoreDown)),
			limpetlang.Number(len(v.Members)), limpetlang.Number(open), limpetlang.Text(limpetbuild.Revision()),
		}},
	}
}

func formatUpDown(down bool) string {
	if down {
		return "down"
	}
	return "up"
}

func (n *Node) requestTable() limpetlang.Table {
	t := limpetlang.Table{Columns: []string{"vm", "service", "server", "account", "requests"}}
	for server, accounts := range n.dispatcher.Running() {
		for account, count := range accounts {
			t.Rows = append(t.Rows, []limpetlang.Cell{
				limpetlang.Text(n.self.Name), limpetlang.Text(server.Service), limpetlang.Text(server.ID),
				limpetlang.Text(account), limpetlang.Number(count),
			})
		}
	}
	return t
}

func (n *Node) leaseTable() limpetlang.Table {
	t := limpetlang.Table{Columns: []string{"vm", "duty", "fence"}}
	duties := n.holder.Duties()
	for _, d := range slices.Sorted(maps.Keys(duties)) {
		t.Rows = append(t.Rows, []limpetlang.Cell{limpetlang.Text(n.self.Name), limpetlang.Text(d), limpetlang.Number(duties[d])})
	}
	return t
}

func (n *Node) quarantineTable() limpetlang.Table {
	t := limpetlang.Table{Columns: []string{"vm", "request", "account", "crashes", "at"}}
	for f, c := range n.View().Quarantine.Quarantined {
		t.Rows = append(t.Rows, []limpetlang.Cell{
			limpetlang.Text(n.self.Name), limpetlang.Text(limpetquarantine.Name(f)), limpetlang.Text(c.Account),
			limpetlang.Number(len(c.Servers)), limpetlang.Text(c.At.UTC().Format(time.RFC3339)),
		})
	}
	return t
}

func (n *Node) usageTable() limpetlang.Table {
	t := limpetlang.Table{Columns: []string{"vm", "account", "requests", "prompt_tokens", "tokens", "server_ms"}}
	totals := n.tally.Totals()
	for _, a := range slices.Sorted(maps.Keys(totals)) {
		c := totals[a]
		t.Rows = append(t.Rows, []limpetlang.Cell{
			limpetlang.Text(n.self.Name), limpetlang.Text(a), limpetlang.Number(c.Requests), limpetlang.Number(c.PromptTokens),
			limpetlang.Number(c.Tokens), limpetlang.Number(c.ServerMillis),
		})
	}
	return t
}

// clusterTable returns a table that any VM can answer completely. The error is
// *limpeterror.Findings if there is no such table.
func (n *Node) clusterTable(ctx context.Context, entity string) (limpetlang.Table, error) {
	for _, e := range []limpetconfig.Entity{limpetconfig.Accounts, limpetconfig.Keys, limpetconfig.Services, limpetconfig.Drains, limpetconfig.Releases} {
		if string(e) == entity {
			return n.objectTable(e), nil
		}
	}
	switch entity {
	case "job":
		return n.jobTable(ctx), nil
	case "server":
		return n.serverTable(), nil
	case "change":
		return n.changeTable(), nil
	case "window":
		return n.windowTable(ctx)
	default:
		f := &limpeterror.Findings{}
		f.Add("show", "no table %q; the tables are %s", entity, strings.Join(limpetlang.Tables, ", "))
		return limpetlang.Table{}, f
	}
}

func (n *Node) objectTable(e limpetconfig.Entity) limpetlang.Table {
	t := limpetlang.Table{Columns: []string{"name"}}
	for _, f := range limpetconfig.Fields(e) {
		t.Columns = append(t.Columns, f.Name)
	}
	for _, o := range n.View().Config.Objects(e) {
		row := []limpetlang.Cell{limpetlang.Text(o.Name)}
		for _, f := range o.Fields {
			row = append(row, limpetlang.ParseCell(f.Value))
		}
		t.Rows = append(t.Rows, row)
	}
	return t
}

// jobTable returns the jobs with their progress, which it requests from the VM
// that owns each job. Progress that cannot be read is shown as "?".
func (n *Node) jobTable(ctx context.Context) limpetlang.Table {
	t := n.objectTable(limpetconfig.Jobs)
	t.Columns = append(t.Columns, "published", "cursor", "left", "running", "discarded")
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	for i, row := range t.Rows {
		job := n.View().Config.Jobs[row[0].Text]
		var s limpetrollout.Status
		_, data, err := n.callJob(ctx, job.Account, job.Name, limpetrollout.OpStatus, nil)
		if err == nil {
			err = json.Unmarshal(data, &s)
		}
		if err != nil {
			unknown := limpetlang.Text("?")
			t.Rows[i] = append(row, unknown, unknown, unknown, unknown, unknown)
			continue
		}
		t.Rows[i] = append(row, limpetlang.Number(s.Published), limpetlang.Number(s.Cursor), limpetlang.Number(s.Remaining),
			limpetlang.Number(s.Running), limpetlang.Number(s.Discarded))
	}
	return t
}

func (n *Node) serverTable() limpetlang.Table {
	t := limpetlang.Table{Columns: []string{"server", "service", "zone", "class", "state", "version", "running", "queued", "capacity", "report_age_ms", "failing", "price"}}
	n.withControl(func(c *control) {
		now := time.Now()
		for _, id := range slices.Sorted(maps.Keys(c.servers)) {
			s := c.servers[id]
			k := c.candidate(s, now)
			state := string(s.listed.State)
			if k.Leaving {
				state = "draining"
			}
			t.Rows = append(t.Rows, []limpetlang.Cell{
				limpetlang.Text(id), limpetlang.Text(s.server.Service), limpetlang.Text(s.server.Zone), limpetlang.Text(string(s.server.Class)),
				limpetlang.Text(state), limpetlang.Number(s.load.Version), limpetlang.Number(s.load.Running), limpetlang.Number(s.load.Queued),
				limpetlang.Number(k.Capacity), limpetlang.Number(now.Sub(s.load.At).Milliseconds()), limpetlang.Text(fmt.Sprint(k.Failing)),
				c.priceCell(s),
			})
		}
	})
	return t
}

// priceCell returns a server's price for an hour, or "?" while it is unknown.
func (c *control) priceCell(s *serverState) limpetlang.Cell {
	p, ok := c.prices[s.server.Zone]
	if !ok {
		return limpetlang.Text("?")
	}
	return limpetlang.Number(limpetfleet.PriceOf(p, s.server.Class))
}

// changeTable returns the recent configuration changes with their time and
// author.
func (n *Node) changeTable() limpetlang.Table {
	t := limpetlang.Table{Columns: []string{"index", "at", "who", "what"}}
	n.withControl(func(c *control) {
		for _, e := range c.recentEntries {
			var what []string
			for _, change := range e.Changes {
				what = append(what, fmt.Sprintf("%s %s %s", change.Verb, change.Entity, change.Name))
			}
			t.Rows = append(t.Rows, []limpetlang.Cell{
				limpetlang.Number(e.Index), limpetlang.Text(e.At.Format(time.RFC3339)), limpetlang.Text(e.Author), limpetlang.Text(strings.Join(what, "; ")),
			})
		}
	})
	return t
}

const maxShownWindows = 6

// windowTable returns the newest usage windows with their state and their counts
// by VM and client account.
func (n *Node) windowTable(ctx context.Context) (limpetlang.Table, error) {
	t := limpetlang.Table{Columns: []string{"window", "state", "vm", "account", "requests", "prompt_tokens", "tokens", "server_ms"}}
	length := n.settings.Timing.UsageWindow
	for i := range maxShownWindows {
		w := limpetusage.WindowName(time.Now().Add(-time.Duration(i)*length), length)
		values, err := n.usageStore.List(ctx, limpetusage.RecordKey(w, ""))
		if err != nil {
			return t, fmt.Errorf("usage window %s: %w", w, err)
		}
		state := "open"
		if _, err := n.usageStore.Get(ctx, limpetusage.FrozenKey(w)); err == nil {
			state = "frozen"
		}
		for _, v := range values {
			r, err := limpetusage.DecodeRecord(v.Data)
			if err != nil {
				return t, err
			}
			for _, a := range slices.Sorted(maps.Keys(r.Counts)) {
				c := r.Counts[a]
				t.Rows = append(t.Rows, []limpetlang.Cell{
					limpetlang.Text(w), limpetlang.Text(state), limpetlang.Text(r.VM), limpetlang.Text(a),
					limpetlang.Number(c.Requests), limpetlang.Number(c.PromptTokens), limpetlang.Number(c.Tokens), limpetlang.Number(c.ServerMillis),
				})
			}
		}
	}
	return t, nil
}
