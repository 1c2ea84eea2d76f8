package limpetcluster_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetcaller"
	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetnode"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetsettings"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpetusage"
)

// A storePartition disconnects one VM from the store while it is active.
type storePartition struct {
	active atomic.Bool
}

func (p *storePartition) wrap(s limpetstore.Store) limpetstore.Store {
	check := func() error {
		if p.active.Load() {
			return limpeterror.Unavailable.New("disconnected from the store")
		}
		return nil
	}
	w := s
	w.Get = func(ctx context.Context, key string) (limpetstore.Value, error) {
		if err := check(); err != nil {
			return limpetstore.Value{}, err
		}
		return s.Get(ctx, key)
	}
	w.Put = func(ctx context.Context, r limpetstore.PutRequest) (uint64, error) {
		if err := check(); err != nil {
			return 0, err
		}
		return s.Put(ctx, r)
	}
	w.Watch = func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]limpetstore.Value, error) {
		if err := check(); err != nil {
			return nil, err
		}
		v, err := s.Watch(ctx, prefix, after, wait)
		if late := check(); late != nil {
			return nil, late
		}
		return v, err
	}
	w.Renew = func(ctx context.Context, lease uint64) error {
		if err := check(); err != nil {
			return err
		}
		return s.Renew(ctx, lease)
	}
	return w
}

// partitionOptions returns options of a cluster in which the given VM can be
// disconnected from the store.
func partitionOptions(vms, vm int) (limpetcluster.Options, *storePartition) {
	partition := &storePartition{}
	return limpetcluster.Options{
		VMs:            vms,
		AdjustSettings: func(s *limpetsettings.Settings) { s.Timing.MaxConfirmationAge = 2 * time.Second },
		WrapDeps: func(i int, d limpetnode.Deps) limpetnode.Deps {
			if i == vm {
				d.Store = partition.wrap(d.Store)
			}
			return d
		},
	}, partition
}

// status returns the HTTP status with which a VM answers a key, or 0 if it does
// not answer.
func (s *system) status(vm int, token string) int {
	r, err := limpetcluster.NewCaller(s.URL(vm), token).Do(s.ctx, http.MethodGet, "/v1/models", nil, nil)
	if err != nil {
		return 0
	}
	return r.Status
}

func TestWithdrawnKeyIsRefusedEverywhere(t *testing.T) {
	for _, c := range []struct {
		name    string
		disrupt func(s *system, partition *storePartition)
		// status is the HTTP status with which the VM that the fault affects,
		// Nodes[2], answers a valid key once the withdrawn key is refused.
		status int
	}{
		{"no fault", func(*system, *storePartition) {}, 200},
		{"store down for all", func(s *system, _ *storePartition) { s.Store.SetDown(true) }, 200},
		{"one VM disconnected from the store", func(_ *system, partition *storePartition) { partition.active.Store(true) }, 200},
		{"one VM disconnected from its peers", func(s *system, _ *storePartition) { s.SetPartitioned(2, true) }, 200},
		{"one VM disconnected from the store and its peers", func(s *system, partition *storePartition) { partition.active.Store(true); s.SetPartitioned(2, true) }, 503},
		{"store down for all and one VM disconnected from its peers", func(s *system, _ *storePartition) { s.Store.SetDown(true); s.SetPartitioned(2, true) }, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, partition := partitionOptions(3, 2)
			s := newSystem(t, o, 1)
			Convey("the key is refused on every VM and its streams end", t, func() {
				token, err := s.CreateKey(s.ctx, 0, "victim", "desk", "caller")
				So(err, ShouldBeNil)
				So(limpetcluster.WaitUntil(s.ctx, "key in force", func() bool { return s.status(2, token) == 200 }), ShouldBeNil)
				ended := make(chan limpetcluster.StreamResult, 1)
				s.Go(func() {
					r, _ := limpetcluster.NewCaller(s.URL(2), token).Stream(s.ctx, limpetcluster.Prompt{Model: "drafts", Prompt: "long", MaxTokens: 1 << 20})
					ended <- r
				})
				So(limpetcluster.WaitUntil(s.ctx, "a stream", func() bool { return s.EngineByID("e1").Busy() == 1 }), ShouldBeNil)
				c.disrupt(s, partition)
				_, err = s.RunStatements(s.ctx, 0, "withdraw key victim")
				So(err, ShouldBeNil)
				for vm := range 3 {
					So(limpetcluster.WaitUntil(s.ctx, "key refused", func() bool { st := s.status(vm, token); return st == 401 || st == 503 }), ShouldBeNil)
				}
				So((<-ended).Complete, ShouldBeFalse)
				So(limpetcluster.WaitUntil(s.ctx, "other keys", func() bool { return s.status(2, s.caller) == c.status }), ShouldBeNil)
				So(limpetcluster.WaitUntil(s.ctx, "other keys elsewhere", func() bool { return s.status(1, s.caller) == 200 || c.status == 503 }), ShouldBeNil)
				// When the faults are over, the withdrawal is durable and other keys
				// are accepted again.
				s.Store.SetDown(false)
				partition.active.Store(false)
				s.SetPartitioned(2, false)
				So(limpetcluster.WaitUntil(s.ctx, "durable everywhere", func() bool {
					for vm, n := range s.Nodes {
						_, exists := n.View().Config.Keys["victim"]
						if exists || s.status(vm, s.caller) != 200 || s.status(vm, token) != 401 {
							return false
						}
					}
					return true
				}), ShouldBeNil)
			})
		})
	}
}

func TestWithdrawalDuringCall(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 1}, 1)
	Convey("a call whose key is withdrawn while it runs is not reported as not run", t, func() {
		token, err := s.CreateKey(s.ctx, 0, "victim", "desk", "caller")
		So(err, ShouldBeNil)
		s.service.Lock()
		s.service.Delay = time.Second
		s.service.Unlock()
		answers := make(chan limpetcluster.Reply, 1)
		s.Go(func() {
			r, _ := limpetcluster.NewCaller(s.URL(0), token).Do(s.ctx, http.MethodPost, "/records/fees", nil, []byte("fee"))
			answers <- r
		})
		So(limpetcluster.WaitUntil(s.ctx, "a call", func() bool {
			t, err := s.Query(s.ctx, 0, "show requests where service = records")
			return err == nil && len(t.Rows) == 1
		}), ShouldBeNil)
		_, err = s.RunStatements(s.ctx, 0, "withdraw key victim")
		So(err, ShouldBeNil)
		r := <-answers
		So(r.ErrorBody().Outcome, ShouldEqual, limpetcaller.Unknown)
		So(r.ErrorBody().Message, ShouldContainSubstring, "withdrawn")
		So(limpetcluster.WaitUntil(s.ctx, "the run", func() bool { s.service.Lock(); defer s.service.Unlock(); return s.service.Runs["fee"] == 1 }), ShouldBeNil)
	})
}

func TestVMStartsDuringStoreOutage(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 3}, 1)
	Convey("the VM gets the configuration from its peers and serves callers", t, func() {
		So(s.Nodes[2].Kill(), ShouldBeNil)
		s.Store.SetDown(true)
		So(limpetcluster.WaitUntil(s.ctx, "outage noticed", func() bool { return s.Nodes[0].View().StoreDown && s.Nodes[1].View().StoreDown }), ShouldBeNil)
		So(s.StartNode(2), ShouldBeNil)
		So(limpetcluster.WaitUntil(s.ctx, "serving", func() bool { return s.status(2, s.caller) == 200 }), ShouldBeNil)
		So(s.Nodes[2].View().Config.Index, ShouldEqual, s.Nodes[0].View().Config.Index)
	})
}

// step creates a step and collects its samples. It returns an error if a sample
// is duplicated or wrong. It calls disrupt after each batch.
func (s *system) step(trainer *limpetcluster.Trainer, number uint64, groups int, disrupt func(batch int)) (samples int, err error) {
	spec := limpetrollout.StepSpec{Step: number, MaxTokens: 40}
	for g := range groups {
		spec.Groups = append(spec.Groups, limpetrollout.Group{Prompt: fmt.Sprintf("prompt %d/%d", number, g), Samples: 4})
	}
	if err := trainer.Step(s.ctx, spec); err != nil {
		return 0, err
	}
	seen := map[string]bool{}
	batch := 0
	err = trainer.Collect(s.ctx, 8, func(r limpetrollout.FetchReply) {
		for _, sample := range r.Samples {
			key := fmt.Sprintf("%d/%d/%d", sample.Step, sample.Group, sample.Index)
			if seen[key] || sample.Text != limpetstub.Answer(spec.Groups[sample.Group].Prompt, 40) {
				err = fmt.Errorf("sample %s is duplicated or wrong", key)
			}
			seen[key] = true
		}
		disrupt(batch)
		batch++
	})
	return len(seen), err
}

func TestStepSurvivesFaults(t *testing.T) {
	const groups = 12
	for _, c := range []struct {
		name    string
		disrupt func(s *system, batch int)
	}{
		{"an engine crashes", func(s *system, batch int) {
			if batch < 4 {
				s.EngineByID("e1").Crash()
			}
		}},
		{"a zone is reclaimed", func(s *system, batch int) {
			if batch == 1 {
				for _, id := range []string{"e1", "e3"} {
					s.Platform.SetState(id, limpetorder.Reclaiming, time.Now().Add(time.Second))
				}
				time.Sleep(500 * time.Millisecond)
				s.StopServer("e1")
				s.StopServer("e3")
			}
		}},
		{"the job's owner is killed", func(s *system, batch int) {
			if batch == 1 {
				_ = s.Nodes[s.ownerOf("job/notes")].Kill()
			}
		}},
		{"the job's owner shuts down", func(s *system, batch int) {
			if batch == 1 {
				_ = s.Nodes[s.ownerOf("job/notes")].Shutdown(s.ctx)
			}
		}},
		{"the store is down", func(s *system, batch int) {
			if batch == 1 {
				s.Store.SetDown(true)
				time.AfterFunc(4*time.Second, func() { s.Store.SetDown(false) })
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(t, limpetcluster.Options{VMs: 3}, 4)
			Convey("the trainer gets each sample exactly once", t, func() {
				// The trainer uses a VM that is not stopped by the fault.
				So(limpetcluster.WaitUntil(s.ctx, "an owner", func() bool { return s.ownerOf("job/notes") >= 0 }), ShouldBeNil)
				vm := (s.ownerOf("job/notes") + 1) % 3
				trainer := &limpetcluster.Trainer{Caller: limpetcluster.NewCaller(s.URL(vm), s.trainer), Job: "notes"}
				So(trainer.Open(s.ctx, "t1"), ShouldBeNil)
				n, err := s.step(trainer, 1, groups, func(batch int) { c.disrupt(s, batch) })
				So(err, ShouldBeNil)
				So(n, ShouldEqual, 4*groups)
			})
		})
	}
}

// Guards against incident 21: samples of a prompt under which two engines had
// crashed were never generated again, although the engines were calm.
func TestStepSurvivesCrashesUnderOnePrompt(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 2}, 4)
	Convey("the trainer gets the samples of a prompt under which engines crashed, once the engines are calm", t, func() {
		const prompt, crashes = "prompt 1/0", 3
		setCrashOn := func(text string) {
			for _, e := range s.Engines() {
				e.Lock()
				e.CrashOn = text
				e.Unlock()
			}
		}
		setCrashOn(prompt)
		s.Go(func() {
			err := limpetcluster.WaitUntil(s.ctx, "crashes", func() bool { return s.runsOf(prompt) >= crashes })
			setCrashOn("")
			if err != nil {
				t.Error(err)
			}
		})
		trainer := &limpetcluster.Trainer{Caller: limpetcluster.NewCaller(s.URL(0), s.trainer), Job: "notes"}
		So(limpetcluster.WaitUntil(s.ctx, "an owner", func() bool { return s.ownerOf("job/notes") >= 0 }), ShouldBeNil)
		So(trainer.Open(s.ctx, "t1"), ShouldBeNil)
		n, err := s.step(trainer, 1, 2, func(int) {})
		So(err, ShouldBeNil)
		So(n, ShouldEqual, 8)
	})
}

// runsOf returns how often engines have begun to run a prompt.
func (s *system) runsOf(prompt string) int {
	n := 0
	for _, e := range s.Engines() {
		e.Lock()
		n += e.Runs[prompt]
		e.Unlock()
	}
	return n
}

// ownerOf returns the VM that reports itself as the holder of a duty, or -1.
func (s *system) ownerOf(duty string) int {
	for i := range s.Nodes {
		t, err := s.Query(s.ctx, i, fmt.Sprintf("show leases where vm = vm%d and duty = %q", i+1, duty))
		if err == nil && len(t.Rows) == 1 {
			return i
		}
	}
	return -1
}

func TestIdempotencyKeyAcrossVMs(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 3}, 1)
	Convey("requests with one idempotency key to all VMs, concurrent and repeated, run once", t, func() {
		var mu sync.Mutex
		answers := map[string]int{}
		for round := range 5 {
			var g errgroup.Group
			body := fmt.Sprintf("fee %d", round)
			for send := range 9 {
				g.Go(func() error {
					header := http.Header{"Idempotency-Key": {body}}
					r, err := limpetcluster.NewCaller(s.URL(send%3), s.caller).Do(s.ctx, http.MethodPost, "/records/fees", header, []byte(body))
					mu.Lock()
					defer mu.Unlock()
					if err == nil && r.Status == http.StatusOK {
						answers[body]++
					}
					return err
				})
			}
			So(g.Wait(), ShouldBeNil)
			header := http.Header{"Idempotency-Key": {body}}
			r, err := limpetcluster.NewCaller(s.URL(round%3), s.caller).Do(s.ctx, http.MethodPost, "/records/fees", header, []byte(body))
			So(err, ShouldBeNil)
			So(r.Status, ShouldEqual, http.StatusOK)
			So(string(r.Body), ShouldEqual, "ran:"+body)
			So(answers[body], ShouldBeGreaterThan, 0)
			s.service.Lock()
			So(s.service.Runs[body], ShouldEqual, 1)
			s.service.Unlock()
		}
	})
	Convey("during a store outage the call is refused and not run", t, func() {
		s.Store.SetDown(true)
		header := http.Header{"Idempotency-Key": {"down"}}
		r, err := limpetcluster.NewCaller(s.URL(0), s.caller).Do(s.ctx, http.MethodPost, "/records/fees", header, []byte("down"))
		So(err, ShouldBeNil)
		So(r.Status, ShouldEqual, http.StatusServiceUnavailable)
		So(r.Header.Get("Retry-After"), ShouldNotBeEmpty)
		s.service.Lock()
		So(s.service.Runs["down"], ShouldEqual, 0)
		s.service.Unlock()
	})
}

func TestCrashingRequestIsQuarantined(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 2}, 3)
	Convey("after two crashes no VM forwards the request until an operator releases it", t, func() {
		for _, e := range s.Engines() {
			e.Lock()
			e.CrashOn = "poison"
			e.Unlock()
		}
		first, err := s.stream(0, "poison", 5)
		So(err, ShouldBeNil)
		So(first.Complete, ShouldBeFalse)
		poisonRuns := func() int { return s.runsOf("poison") }
		So(limpetcluster.WaitUntil(s.ctx, "quarantine on VM 2", func() bool { return len(s.Nodes[1].View().Quarantine.Quarantined) == 1 }), ShouldBeNil)
		So(poisonRuns(), ShouldEqual, 2)
		again, err := s.stream(1, "poison", 5)
		So(err, ShouldBeNil)
		So(again.Status, ShouldEqual, http.StatusUnauthorized)
		So(again.Error.Message, ShouldContainSubstring, "quarantined")
		So(poisonRuns(), ShouldEqual, 2)
		innocent, err := s.stream(1, "innocent", 5)
		So(err, ShouldBeNil)
		So(innocent.Complete, ShouldBeTrue)
		list, err := s.Query(s.ctx, 0, "show quarantines where vm = vm1")
		So(err, ShouldBeNil)
		_, err = s.RunStatements(s.ctx, 0, fmt.Sprintf("release request %q", list.Rows[0][1].Text))
		So(err, ShouldBeNil)
		for _, e := range s.Engines() {
			e.Lock()
			e.CrashOn = ""
			e.Unlock()
		}
		So(limpetcluster.WaitUntil(s.ctx, "released", func() bool { r, err := s.stream(1, "poison", 5); return err == nil && r.Complete }), ShouldBeNil)
	})
}

// Guards against a VM that starts anew and knows of no crash.
func TestStartedVMKnowsQuarantinedRequests(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 2}, 3)
	Convey("a VM that starts is told of the requests that crashed servers before", t, func() {
		for _, e := range s.Engines() {
			e.Lock()
			e.CrashOn = "poison"
			e.Unlock()
		}
		quarantined := func(vm int) func() bool {
			return func() bool { return len(s.Nodes[vm].View().Quarantine.Quarantined) == 1 }
		}
		_, err := s.stream(0, "poison", 5)
		So(err, ShouldBeNil)
		So(limpetcluster.WaitUntil(s.ctx, "quarantine", quarantined(1)), ShouldBeNil)
		So(s.Nodes[1].Kill(), ShouldBeNil)
		So(s.StartNode(1), ShouldBeNil)
		So(limpetcluster.WaitUntil(s.ctx, "quarantine on the started VM", quarantined(1)), ShouldBeNil)
		So(s.runsOf("poison"), ShouldEqual, 2)
	})
}

// Guards against a suspicion that outlives its reason: a request that was served
// after one crash was quarantined by the next one beside it.
func TestServedSuspectIsCleared(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 2}, 1)
	Convey("no VM suspects a request any more that a server ran", t, func() {
		engine := s.Engines()[0]
		setCrashOn := func(text string) {
			engine.Lock()
			engine.CrashOn = text
			engine.Unlock()
		}
		waitForSuspects := func(count int) {
			for _, n := range s.Nodes {
				So(limpetcluster.WaitUntil(s.ctx, fmt.Sprint(count, " suspects"), func() bool { return len(n.View().Quarantine.Suspects) == count }), ShouldBeNil)
			}
		}
		setCrashOn("sound")
		r, err := s.stream(0, "sound", 5)
		So(err, ShouldBeNil)
		So(r.Complete, ShouldBeFalse)
		waitForSuspects(1)
		setCrashOn("")
		So(limpetcluster.WaitUntil(s.ctx, "an answer", func() bool { r, err := s.stream(0, "sound", 5); return err == nil && r.Complete }), ShouldBeNil)
		waitForSuspects(0)
	})
}

// Guards against a quarantine of all requests of an account that have the same
// body, such as an empty one, whatever they ask for.
func TestQuarantineDependsOnTheTarget(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 1}, 1)
	Convey("a quarantined plain call does not affect one with another path", t, func() {
		const servers = 4
		_, err := s.RunStatements(s.ctx, 0, `create service fragile kind=plain path="/fragile"`)
		So(err, ShouldBeNil)
		for n := range servers {
			id := fmt.Sprintf("fragile-%d", n)
			So(s.AddService("fragile", "a", id, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
				s.Go(func() { s.StopServer(id) })
				// The listener is closed before the connections.
				<-q.Context().Done()
				panic(http.ErrAbortHandler)
			})), ShouldBeNil)
		}
		So(limpetcluster.WaitUntil(s.ctx, "servers", func() bool { return len(s.Nodes[0].View().Servers["fragile"]) == servers }), ShouldBeNil)
		caller := limpetcluster.NewCaller(s.URL(0), s.caller)
		post := func(path string) int {
			r, err := caller.Do(s.ctx, http.MethodPost, path, nil, nil)
			So(err, ShouldBeNil)
			return r.Status
		}
		So(limpetcluster.WaitUntil(s.ctx, "quarantine", func() bool { return post("/fragile/a") == http.StatusUnauthorized }), ShouldBeNil)
		So(post("/fragile/b"), ShouldNotEqual, http.StatusUnauthorized)
	})
}

func TestVMStartsFromDataFolder(t *testing.T) {
	folder := t.TempDir()
	s := newSystem(t, limpetcluster.Options{VMs: 1, AdjustSettings: func(s *limpetsettings.Settings) { s.VM.DataDir = folder }}, 1)
	Convey("a VM without peers starts from its data folder but accepts no key until the store confirms the configuration", t, func() {
		index := s.Nodes[0].View().Config.Index
		So(s.Nodes[0].Kill(), ShouldBeNil)
		s.Store.SetDown(true)
		So(s.StartNode(0), ShouldBeNil)
		So(limpetcluster.WaitUntil(s.ctx, "configuration from the folder", func() bool { return s.Nodes[0].View().Config.Index == index }), ShouldBeNil)
		So(limpetcluster.WaitUntil(s.ctx, "outage noticed", func() bool { return s.Nodes[0].View().StoreDown }), ShouldBeNil)
		So(s.status(0, s.caller), ShouldEqual, http.StatusServiceUnavailable)
		s.Store.SetDown(false)
		So(limpetcluster.WaitUntil(s.ctx, "confirmed", func() bool { return s.status(0, s.caller) == 200 }), ShouldBeNil)
	})
}

func TestUsageSurvivesVMFailure(t *testing.T) {
	s := newSystem(t, limpetcluster.Options{VMs: 3, AdjustSettings: func(s *limpetsettings.Settings) { s.Timing.UsageWindow = 2 * time.Second }}, 1)
	Convey("usage that a VM counted but could not write is reported by another VM", t, func() {
		const requests, tokens = 5, 7
		// The store is down while the requests run and until their VM has died,
		// so only another VM's copy has the counts.
		s.Store.SetDown(true)
		for i := range requests {
			r, err := s.stream(0, fmt.Sprintf("billed %d", i), tokens)
			So(err, ShouldBeNil)
			So(r.Complete, ShouldBeTrue)
		}
		So(limpetcluster.WaitUntil(s.ctx, "copied", func() bool { return s.Nodes[0].UsageReplicated() }), ShouldBeNil)
		So(s.Nodes[0].Kill(), ShouldBeNil)
		s.Store.SetDown(false)
		So(limpetcluster.WaitUntil(s.ctx, "billed", func() bool { return s.billed("desk").Tokens >= requests*tokens }), ShouldBeNil)
		So(s.billed("desk").Tokens, ShouldEqual, requests*tokens)
		So(s.billed("desk").Requests, ShouldEqual, requests)
		So(s.Platform.ConflictingReports, ShouldBeEmpty)
	})
}

// billed returns the sum of an account's usage reports and their corrections.
func (s *system) billed(account string) limpetusage.Count {
	var total limpetusage.Count
	for _, data := range s.Platform.AccountReports(account) {
		var r limpetusage.Report
		if json.Unmarshal(data, &r) == nil {
			total = total.Plus(r.Totals)
			for _, c := range r.Corrections {
				total = total.Plus(c.Count)
			}
		}
	}
	return total
}
