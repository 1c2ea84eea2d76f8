package limpetnode

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpetdispatch"
	"limpetmount.org/internal/limpetduty"
	"limpetmount.org/internal/limpetengine"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetfleet"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetscore"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetusage"
	"limpetmount.org/internal/limpetwire"
)

// Names of duties. The name of a job's duty is jobDutyPrefix and the job's name.
const (
	usageDuty     = "usage"
	ordersDuty    = "orders"
	jobDutyPrefix = "job/"
)

// readAttempts is the maximum number of attempts for a duty's store reads.
const readAttempts = 4

func jobDuty(job string) string { return jobDutyPrefix + job }

// desiredDuties returns the duties that some VM must run according to the
// configuration. store returns the store for a mechanism, whose name labels the
// metrics of its calls.
func (n *Node) desiredDuties(store func(string) limpetstore.Store) []limpetduty.Duty {
	duties := []limpetduty.Duty{
		{Name: usageDuty, Run: func(ctx context.Context, _ uint64) {
			n.usageReporter(limpetstore.RetryReads(store("usage"), readAttempts)).Run(ctx)
		}},
		{Name: ordersDuty, Run: func(ctx context.Context, fence uint64) { n.autoscaler(store("orders"), fence).Run(ctx) }},
	}
	for _, job := range n.View().Config.Jobs {
		duties = append(duties, limpetduty.Duty{Name: jobDuty(job.Name), Run: func(ctx context.Context, fence uint64) {
			n.runJob(ctx, store("jobs"), job, fence)
		}})
	}
	sort.Slice(duties, func(i, j int) bool { return duties[i].Name < duties[j].Name })
	return duties
}

// leaseValidFor returns a function that reports whether a duty is certain to stay
// held for d.
func (n *Node) leaseValidFor(duty string) func(time.Duration) bool {
	return func(d time.Duration) bool {
		_, ok := n.holder.Holds(duty, d)
		return ok
	}
}

func (n *Node) usageReporter(store limpetstore.Store) *limpetduty.UsageReporter {
	return &limpetduty.UsageReporter{
		Store: store, Intake: n.deps.Intake, WindowLength: n.settings.Timing.UsageWindow, LeaseValidFor: n.leaseValidFor(usageDuty), Log: n.log, Now: time.Now,
		LiveIncarnations: func(before time.Time) []string {
			var live []string
			if n.self.Started.Before(before) {
				live = append(live, n.self.Incarnation)
			}
			for _, m := range n.View().Members {
				if m.Started.Before(before) {
					live = append(live, m.Incarnation)
				}
			}
			return live
		},
	}
}

func (n *Node) usageWriter() limpetduty.RecordWriter {
	return limpetduty.RecordWriter{Store: n.usageStore, WindowLength: n.settings.Timing.UsageWindow, Now: time.Now}
}

// flushUsage replicates the changed usage counts to another VM and writes them
// to the store. It also writes the replicas that this VM holds for VMs that are
// gone.
func (n *Node) flushUsage(ctx context.Context, final bool) {
	now := time.Now()
	pending := n.tally.Pending(now, final)
	n.replicateUsage(ctx, pending)
	writer := n.usageWriter()
	for _, r := range pending {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := writer.Write(callCtx, r)
		cancel()
		if err != nil {
			break
		}
		n.tally.MarkFlushed(r)
	}
	live := map[string]bool{n.self.Incarnation: true}
	n.withControl(func(c *control) {
		for _, m := range c.table.Known() {
			if now.Sub(m.ReportedAt) < goneTimeout {
				live[m.Incarnation] = true
			}
		}
	})
	before := limpetusage.WindowName(now.Add(-replicaWindows*n.settings.Timing.UsageWindow), n.settings.Timing.UsageWindow)
	n.usageReplicas.Flush(ctx, func(r limpetusage.Record) bool { return !live[r.Incarnation] }, before)
}

const (
	// storeTimeout bounds each write of a usage record or a drain.
	storeTimeout = 3 * time.Second
	// goneTimeout is how long a VM must be silent before the replicas of its
	// usage counts are written.
	goneTimeout = 15 * time.Second
	// replicaWindows is how long, in window lengths, replicas are kept.
	replicaWindows = 12
)

// replicateUsage sends the records to the first live VM in another zone, or to
// any live VM if there is none.
func (n *Node) replicateUsage(ctx context.Context, records []limpetusage.Record) {
	members := n.View().Members
	if len(members) == 0 || len(records) == 0 {
		return
	}
	replica := members[0]
	for _, m := range members {
		if m.Zone != n.self.Zone {
			replica = m
			break
		}
	}
	q := &limpetwire.HoldUsageRequest{Incarnation: n.self.Incarnation}
	for _, r := range records {
		if data, err := json.Marshal(r); err == nil {
			q.Records = append(q.Records, data)
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	// An error is ignored: the counts are also written to the store.
	if _, err := n.client.Peer(replica.Peer).HoldUsage(callCtx, connect.NewRequest(q)); err == nil {
		n.replicatedSequences.Store(sumSequences(records))
	}
}

// sumSequences returns the sum of the records' sequence numbers, which grows
// with each count.
func sumSequences(records []limpetusage.Record) uint64 {
	sum := uint64(0)
	for _, r := range records {
		sum += r.Sequence
	}
	return sum
}

// UsageReplicated reports whether another VM holds replicas of all usage counts
// of this VM that are not yet in the store.
func (n *Node) UsageReplicated() bool {
	pending := n.tally.Pending(time.Now(), false)
	return n.replicatedSequences.Load() >= sumSequences(pending)
}

func (n *Node) autoscaler(store limpetstore.Store, fence uint64) *limpetduty.Autoscaler {
	return &limpetduty.Autoscaler{
		Store: store, Platform: n.deps.Orders, Fence: fence, LeaseValidFor: n.leaseValidFor(ordersDuty), NewID: newID, Log: n.log, Now: time.Now,
		Services: n.fleetServices, SurplusDelay: n.settings.Timing.SurplusDelay,
		Drain: func(ctx context.Context, server string) error {
			ctx, cancel := context.WithTimeout(ctx, storeTimeout)
			defer cancel()
			_, err := n.appendChanges(ctx, newID(), "system/orders", []limpetconfig.Change{{
				Verb: limpetconfig.Create, Entity: limpetconfig.Drains, Name: server, Place: "fleet",
			}})
			return err
		},
	}
}

// fleetServices returns the autoscaled services. Their demand is the number of
// requests that run or wait at the engines, according to their load reports,
// plus an estimate of the requests queued at VMs: the length of this VM's queue
// times the number of live VMs.
func (n *Node) fleetServices() []limpetduty.FleetService {
	counts := n.dispatcher.RequestCounts()
	var services []limpetduty.FleetService
	n.withControl(func(c *control) {
		for _, s := range c.doc.Services {
			if s.MaxServers == 0 {
				continue
			}
			f := limpetduty.FleetService{Service: s}
			// Index 0 is the number of queued requests.
			f.Demand.Slots = counts[s.Name][0] * (len(c.table.Live(time.Now())) + 1)
			for _, state := range c.servers {
				if state.server.Service == s.Name {
					c.addServer(&f, state)
				}
			}
			services = append(services, f)
		}
	})
	sort.Slice(services, func(i, j int) bool { return services[i].Service.Name < services[j].Service.Name })
	return services
}

// addServer adds a server and its load to f.
func (c *control) addServer(f *limpetduty.FleetService, s *serverState) {
	drain, draining := c.doc.Drains[s.server.ID]
	k := limpetfleet.Server{Server: s.listed, Draining: draining, Running: s.load.Running + s.load.Queued}
	if draining {
		k.DrainStart = c.changedAt(drain.Changed)
	}
	if f.Service.Kind == limpetconfig.Plain {
		k.Running = int(s.server.OwnRequests.Load())
		f.Demand.PerServer = plainCapacity
	} else {
		f.Demand.PerServer = max(f.Demand.PerServer, s.load.Capacity)
	}
	f.Demand.Slots += k.Running
	f.Servers = append(f.Servers, k)
}

// changedAt returns when a configuration entry was accepted. If the entry is no
// longer in memory it returns the current time, so that a draining server is
// stopped when it is idle but not at the drain limit.
func (c *control) changedAt(index uint64) time.Time {
	for _, e := range c.recentEntries {
		if e.Index == index {
			return e.At
		}
	}
	return time.Now()
}

// runJob runs the duty of a job until ctx is canceled: it generates the job's
// samples and, if the job publishes weights, loads them into its service's
// engines.
func (n *Node) runJob(ctx context.Context, store limpetstore.Store, job limpetconfig.Job, fence uint64) {
	g := limpettask.New(ctx)
	initialDelay := limpetduty.MaxOrderLatency
	if n.View().Config.Services[job.Service].Fenced {
		initialDelay = 0
	}
	loader := &limpetduty.WeightLoader{
		Service: job.Service, Fence: fence, InitialDelay: initialDelay, Engine: n.deps.Engine, LeaseValidFor: n.leaseValidFor(jobDuty(job.Name)), Log: n.log, Now: time.Now,
		Servers: func(context.Context) ([]limpetorder.Server, error) { return n.runningServers(job.Service), nil },
	}
	runner := limpetrollout.NewRunner(g, limpetrollout.Dependencies{
		Store: store, Job: func() (limpetconfig.Job, bool) {
			j, ok := n.View().Config.Jobs[job.Name]
			return j, ok
		},
		Generate: n.generate, Stragglers: n.deps.Stragglers, Score: n.score, Log: n.log, Now: time.Now,
		Published: func(job limpetconfig.Job, version uint64) {
			if job.Publishes {
				loader.Publish(version)
			}
		},
	}, job, n.self.Incarnation+"/"+newID())
	n.mu.Lock()
	n.runners[job.Name] = runner
	n.mu.Unlock()
	g.Go(func(ctx context.Context) error { loader.Run(ctx); return nil })
	<-ctx.Done()
	n.mu.Lock()
	if n.runners[job.Name] == runner {
		delete(n.runners, job.Name)
	}
	n.mu.Unlock()
	_ = g.Stop()
}

func (n *Node) runningServers(service string) []limpetorder.Server {
	var servers []limpetorder.Server
	n.withControl(func(c *control) {
		for _, s := range c.servers {
			if s.server.Service == service && s.listed.State == limpetorder.Running {
				servers = append(servers, s.listed)
			}
		}
	})
	return servers
}

// generate runs one attempt at a sample as a completion of the job's client
// account.
func (n *Node) generate(ctx context.Context, r limpetrollout.GenerationRequest) (limpetrollout.Generation, error) {
	var g limpetrollout.Generation
	var text strings.Builder
	params := limpetengine.Params{}
	for _, p := range []struct {
		name  string
		value any
	}{
		{"model", r.Job.Service}, {"prompt", r.Prompt}, {"max_tokens", r.MaxTokens},
		{limpetengine.ParamStream, true}, {limpetengine.ParamPriority, r.Priority},
	} {
		if err := params.Set(p.name, p.value); err != nil {
			return g, err
		}
	}
	account, ok := n.View().Config.Accounts[r.Job.Account]
	if !ok {
		return g, limpeterror.Denied.New("client account %s is gone", r.Job.Account)
	}
	_, err := n.dispatcher.Complete(ctx, limpetdispatch.Completion{
		ID: newID(), Account: account, Class: limpetconfig.Rollout, Service: r.Job.Service, Path: limpetengine.PathCompletions,
		Params: params, Prompt: r.Prompt, MaxTokens: r.MaxTokens, MinVersion: r.MinVersion, Cheap: true,
		Fingerprint: limpetquarantine.Fingerprint(account.Name, r.Job.Service, []byte(r.Prompt)), Owed: true,
		OnData: func(payload []byte) error {
			var chunk limpetengine.Chunk
			if err := json.Unmarshal(payload, &chunk); err != nil {
				return limpeterror.Unknown.Wrap(err, "chunk")
			}
			weights := limpetengine.WeightsInfo{}
			if chunk.Weights != nil {
				weights = *chunk.Weights
			}
			if err := g.Labels.Add(chunk.Index, weights.Version, weights.Incarnation); err != nil {
				return limpeterror.Unknown.Wrap(err, "labels")
			}
			r.Progress(weights.Version)
			text.WriteString(chunk.Content())
			return nil
		},
	})
	g.Text = text.String()
	return g, err
}

func (n *Node) score(ctx context.Context, job limpetconfig.Job, name, prompt, text string) (float64, error) {
	reply, err := n.deps.Scorer.Score(ctx, job.Scorer, limpetscore.Request{Sample: name, Prompt: prompt, Text: text})
	if err != nil {
		return 0, err
	}
	if reply.Sample != name {
		return 0, limpeterror.Unknown.New("scorer answered for sample %s, not %s", reply.Sample, name)
	}
	return reply.Score, nil
}
