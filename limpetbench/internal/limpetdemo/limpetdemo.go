// Package limpetdemo implements the demo, an end-to-end run of three VMs
// against stub services in one process. Each step checks its results.
package limpetdemo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpetusage"
)

// Command holds the flags of limpetbench demo.
type Command struct {
	Verbose bool `help:"Print the log of all VMs to standard error."`
}

const (
	demoTimeout    = 55 * time.Second
	usageWindow    = 3 * time.Second
	tokenTime      = 4 * time.Millisecond
	engineCapacity = 16
	stepGroups     = 8
	stepSamples    = 4
	// stepTokens takes 1.6 s, so that a version that is published halfway is in use
	// before the end also on a busy machine.
	stepTokens = 400
)

// A demo holds the state that the steps share.
type demo struct {
	cluster *limpetcluster.Cluster
	caller  string
	trainer *limpetcluster.Trainer
	service *limpetstub.Service
	results table.Writer
	failed  int
}

// Run runs all steps, prints a table of the results, and returns an error if
// any step failed.
func (c *Command) Run() error {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	folder, remove, err := limpetcluster.TempFolder()
	if err != nil {
		return err
	}
	defer remove()
	logs := io.Discard
	if c.Verbose {
		logs = os.Stderr
	}
	log, err := limpetlog.New(logs, "info", "text", "demo")
	if err != nil {
		return err
	}
	cluster, err := limpetcluster.New(ctx, limpetcluster.Options{
		Folder: folder, VMs: 3, Zones: []string{"pretoria-a", "pretoria-b", "midrand-a"}, Log: log,
		AdjustSettings: func(s *limpetsettings.Settings) { s.Timing.UsageWindow = usageWindow },
		NewEngine:      func(id string) *limpetstub.Engine { return limpetstub.NewEngine(id, engineCapacity, tokenTime) },
	})
	if err != nil {
		return err
	}
	defer cluster.Close()
	d := &demo{cluster: cluster, results: table.NewWriter(), service: &limpetstub.Service{Runs: map[string]int{}}}
	d.results.AppendHeader(table.Row{"step", "what happened", "seconds", "check"})
	for _, s := range []struct {
		name string
		run  func(context.Context) (string, error)
	}{
		{"three VMs start", d.waitForVMs},
		{"an operator makes accounts, services and keys", d.configure},
		{"backend servers are ordered", d.orderServers},
		{"a caller streams a completion through one VM", d.streamCompletion},
		{"a call that must not run twice is sent twice", d.repeatIdempotentCall},
		{"a trainer gets a step across a weight change", d.trainAcrossUpdate},
		{"a key is withdrawn during a stream", d.withdrawKey},
		{"an engine is drained", d.drainEngine},
		{"a usage window is reported", d.checkUsageReport},
		{"a VM shuts down gracefully", d.shutDownVM},
	} {
		d.runStep(ctx, s.name, s.run)
	}
	fmt.Println(d.results.Render())
	if d.failed > 0 {
		return fmt.Errorf("%d checks failed", d.failed)
	}
	return nil
}

// runStep runs one step and appends its result to the table.
func (d *demo) runStep(ctx context.Context, name string, run func(context.Context) (string, error)) {
	start := time.Now()
	outcome, err := run(ctx)
	status := "ok"
	if err != nil {
		d.failed++
		status, outcome = "FAILED", err.Error()
	}
	d.results.AppendRow(table.Row{name, outcome, fmt.Sprintf("%.2f", time.Since(start).Seconds()), status})
}

func (d *demo) waitForVMs(ctx context.Context) (string, error) {
	if err := d.cluster.WaitReady(ctx); err != nil {
		return "", err
	}
	return fmt.Sprintf("%d VMs ready", len(d.cluster.Nodes)), nil
}

func (d *demo) configure(ctx context.Context) (string, error) {
	reply, err := d.cluster.RunStatements(ctx, 0, `
		create account desk weight=3 class=live;
		create account training weight=1 class=rollout;
		create service drafts kind=engine servers=3 most=6 cheap=0.5;
		create service records kind=plain path="/records";
		create job notes account=training service=drafts staleness=2 publishes=true`)
	if err != nil {
		return "", err
	}
	if d.caller, err = d.cluster.CreateKey(ctx, 1, "desk1", "desk", "caller"); err != nil {
		return "", err
	}
	token, err := d.cluster.CreateKey(ctx, 2, "trainer1", "training", "trainer")
	if err != nil {
		return "", err
	}
	d.trainer = &limpetcluster.Trainer{Caller: limpetcluster.NewCaller(d.cluster.URL(2), token), Job: "notes"}
	if err := d.cluster.AddService("records", "pretoria-a", "records-1", d.service); err != nil {
		return "", err
	}
	return reply.GetResults()[0].GetText(), nil
}

func (d *demo) orderServers(ctx context.Context) (string, error) {
	ready := 0
	err := limpetcluster.WaitUntil(ctx, "three engines on every VM", func() bool {
		for _, n := range d.cluster.Nodes {
			ready = len(n.View().Servers["drafts"])
			if ready < 3 || len(n.View().Servers["records"]) == 0 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return "", err
	}
	cheap := 0
	for _, o := range d.cluster.Platform.SentOrders() {
		if o.Class == limpetorder.Cheap {
			cheap++
		}
	}
	return fmt.Sprintf("%d engines ordered, %d of them cheap", ready, cheap), nil
}

func (d *demo) streamCompletion(ctx context.Context) (string, error) {
	const prompt, tokens = "Draft a redaction note for record 17.", 100
	r, err := limpetcluster.NewCaller(d.cluster.URL(0), d.caller).Stream(ctx, limpetcluster.Prompt{Model: "drafts", Prompt: prompt, MaxTokens: tokens})
	if err != nil {
		return "", err
	}
	if !r.Complete || r.Text != limpetstub.Answer(prompt, tokens) {
		return "", fmt.Errorf("status %d, %d tokens, complete %v", r.Status, r.Tokens, r.Complete)
	}
	for _, e := range d.cluster.Engines() {
		if e.RequestsWithKey > 0 {
			return "", fmt.Errorf("engine %s received a caller's key", e.ID)
		}
	}
	return fmt.Sprintf("%d tokens, first after %d ms", r.Tokens, r.FirstToken.Milliseconds()), nil
}

// repeatIdempotentCall sends a request with the same idempotency key through
// two VMs and checks that the service executes it once.
func (d *demo) repeatIdempotentCall(ctx context.Context) (string, error) {
	header := http.Header{"Idempotency-Key": {"fee-4711"}}
	for vm := range 2 {
		r, err := limpetcluster.NewCaller(d.cluster.URL(vm), d.caller).Do(ctx, http.MethodPost, "/records/fees", header, []byte("charge request 4711"))
		if err != nil {
			return "", err
		}
		if r.Status != http.StatusOK || string(r.Body) != "ran:charge request 4711" {
			return "", fmt.Errorf("VM %d: status %d: %s", vm+1, r.Status, r.Body)
		}
	}
	d.service.Lock()
	defer d.service.Unlock()
	if n := d.service.Runs["charge request 4711"]; n != 1 {
		return "", fmt.Errorf("ran %d times", n)
	}
	return "sent through two VMs, ran once, both got the answer", nil
}

// trainAcrossUpdate publishes weights while the samples of a step are being
// generated, and checks that every sample arrives exactly once.
func (d *demo) trainAcrossUpdate(ctx context.Context) (string, error) {
	if err := d.trainer.Open(ctx, "trainer-process-1"); err != nil {
		return "", err
	}
	spec := limpetrollout.StepSpec{Step: 1, MaxTokens: stepTokens}
	for g := range stepGroups {
		spec.Groups = append(spec.Groups, limpetrollout.Group{Prompt: fmt.Sprintf("Prompt %d of step 1", g), Samples: stepSamples})
	}
	if err := d.trainer.Step(ctx, spec); err != nil {
		return "", err
	}
	// Publish the new version while samples are being generated.
	time.Sleep(stepTokens * tokenTime / 2)
	if err := d.trainer.Publish(ctx, 2); err != nil {
		return "", err
	}
	seen, versions, spanning := map[[2]int]bool{}, map[uint64]int{}, 0
	var mismatch error
	err := d.trainer.Collect(ctx, 16, func(r limpetrollout.FetchReply) {
		for _, s := range r.Samples {
			if seen[[2]int{s.Group, s.Index}] || s.Text != limpetstub.Answer(spec.Groups[s.Group].Prompt, stepTokens) {
				mismatch = fmt.Errorf("sample %d/%d is duplicated or has the wrong text", s.Group, s.Index)
			}
			seen[[2]int{s.Group, s.Index}] = true
			for _, v := range s.Versions {
				versions[v.Version] += v.To - v.From
			}
			if len(s.Versions) > 1 {
				spanning++
			}
		}
	})
	if err != nil || mismatch != nil {
		return "", fmt.Errorf("%w %w", err, mismatch)
	}
	if len(seen) != stepGroups*stepSamples || versions[2] == 0 {
		return "", fmt.Errorf("%d samples, tokens by version %v", len(seen), versions)
	}
	return fmt.Sprintf("%d samples once each; %d span the change; tokens by version: %d of 1, %d of 2", len(seen), spanning, versions[1], versions[2]), nil
}

// withdrawKey withdraws a key while a stream uses it, and checks that the
// stream ends early and that another VM rejects the key.
func (d *demo) withdrawKey(ctx context.Context) (string, error) {
	token, err := d.cluster.CreateKey(ctx, 0, "desk2", "desk", "caller")
	if err != nil {
		return "", err
	}
	done := make(chan limpetcluster.StreamResult, 1)
	errs := make(chan error, 1)
	d.cluster.Go(func() {
		r, err := limpetcluster.NewCaller(d.cluster.URL(0), token).Stream(ctx, limpetcluster.Prompt{Model: "drafts", Prompt: "A long answer", MaxTokens: 5000})
		errs <- err
		done <- r
	})
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	if _, err := d.cluster.RunStatements(ctx, 1, "withdraw key desk2"); err != nil {
		return "", err
	}
	<-errs
	if r := <-done; r.Complete {
		return "", fmt.Errorf("the stream completed despite the withdrawal")
	}
	ended := time.Since(start)
	r, err := limpetcluster.NewCaller(d.cluster.URL(2), token).Stream(ctx, limpetcluster.Prompt{Model: "drafts", Prompt: "x", MaxTokens: 1})
	if err != nil || r.Status != http.StatusUnauthorized {
		return "", fmt.Errorf("after the withdrawal: status %d, %w", r.Status, err)
	}
	return fmt.Sprintf("stream ended and key refused on another VM after %d ms", ended.Milliseconds()), nil
}

// drainEngine checks that a drained engine is stopped and replaced.
func (d *demo) drainEngine(ctx context.Context) (string, error) {
	servers := d.cluster.Nodes[0].View().Servers["drafts"]
	id := servers[0].ID
	if _, err := d.cluster.RunStatements(ctx, 0, "drain server "+id); err != nil {
		return "", err
	}
	err := limpetcluster.WaitUntil(ctx, "the drained engine's stop order and replacement", func() bool {
		stopped := false
		for _, o := range d.cluster.Platform.SentOrders() {
			stopped = stopped || (o.Kind == limpetorder.Stop && o.Server == id)
		}
		return stopped && len(d.cluster.Nodes[0].View().Servers["drafts"]) >= 3
	})
	return id + " got no new work, was stopped when empty, and replaced", err
}

// checkUsageReport checks that the account's usage arrives at the platform and
// that no usage window is reported twice with different figures.
func (d *demo) checkUsageReport(ctx context.Context) (string, error) {
	var total limpetusage.Count
	err := limpetcluster.WaitUntil(ctx, "the usage report of account desk", func() bool {
		total = limpetusage.Count{}
		for _, data := range d.cluster.Platform.AccountReports("desk") {
			var r limpetusage.Report
			if json.Unmarshal(data, &r) == nil {
				total = total.Plus(r.Totals)
			}
		}
		return total.Tokens >= 100 && total.Requests >= 3
	})
	if err != nil {
		return "", err
	}
	if len(d.cluster.Platform.ConflictingReports) > 0 {
		return "", fmt.Errorf("windows reported twice: %v", d.cluster.Platform.ConflictingReports)
	}
	return fmt.Sprintf("desk: %d requests, %d tokens, each window once", total.Requests, total.Tokens), nil
}

// shutDownVM checks that a stream through a VM completes while the VM shuts
// down gracefully.
func (d *demo) shutDownVM(ctx context.Context) (string, error) {
	done := make(chan limpetcluster.StreamResult, 1)
	const prompt, tokens = "A stream through a VM that leaves", 200
	d.cluster.Go(func() {
		r, _ := limpetcluster.NewCaller(d.cluster.URL(1), d.caller).Stream(ctx, limpetcluster.Prompt{Model: "drafts", Prompt: prompt, MaxTokens: tokens})
		done <- r
	})
	time.Sleep(200 * time.Millisecond)
	if err := d.cluster.Nodes[1].Shutdown(ctx); err != nil {
		return "", err
	}
	if r := <-done; !r.Complete || r.Text != limpetstub.Answer(prompt, tokens) {
		return "", fmt.Errorf("the stream ended early after %d tokens", r.Tokens)
	}
	return "its open stream got the whole answer", nil
}
