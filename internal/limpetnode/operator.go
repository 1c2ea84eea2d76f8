package limpetnode

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetkey"
	"limpetmount.org/internal/limpetlang"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetoperator"
	"limpetmount.org/internal/limpetwire"
)

// operatorService serves calls from limpetctl.
type operatorService struct {
	node *Node
}

const (
	// appendTimeout bounds an append to the configuration log.
	appendTimeout = 5 * time.Second
	// applyTimeout is the longest wait until a change is in force on all VMs.
	applyTimeout = 4 * time.Second
	// collectTimeout bounds the collection of a table's rows from other VMs.
	collectTimeout = 2 * time.Second
	// outageAppendTimeout bounds the append of withdrawals that are already in
	// force as suspensions while the store is down.
	outageAppendTimeout = 1500 * time.Millisecond
)

// Run authenticates the caller, parses a batch of statements, and runs its
// changes and queries.
func (o *operatorService) Run(ctx context.Context, q *connect.Request[limpetwire.RunRequest]) (*connect.Response[limpetwire.RunResponse], error) {
	who, err := o.node.authenticate(q.Header().Get("Authorization"))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnauthenticated, err)
	}
	batch, err := limpetlang.Parse(q.Msg.GetStatements())
	if err != nil {
		return findingsReply(err)
	}
	changes, err := batch.Changes()
	if err != nil {
		return findingsReply(err)
	}
	if len(changes) > 0 && who.Role != limpetconfig.Operator {
		return nil, connect.NewError(connect.CodePermissionDenied, limpeterror.Denied.New("key %s may only ask", who.Key))
	}
	reply := &limpetwire.RunResponse{Durable: true}
	if len(changes) > 0 {
		if err := o.node.applyChanges(ctx, q.Msg, who.Key, changes, reply); err != nil {
			return findingsReply(err)
		}
	}
	for _, s := range batch.Statements {
		if s.Show == nil {
			continue
		}
		result, err := o.node.runQuery(ctx, s.Show)
		if err != nil {
			return findingsReply(err)
		}
		reply.Results = append(reply.Results, result)
	}
	return connect.NewResponse(reply), nil
}

// findingsReply returns a response with all findings if err holds some, or else
// a connect error with code Unknown or Unavailable.
func findingsReply(err error) (*connect.Response[limpetwire.RunResponse], error) {
	var f *limpeterror.Findings
	if errors.As(err, &f) {
		reply := &limpetwire.RunResponse{}
		for _, l := range f.List {
			reply.Findings = append(reply.Findings, &limpetwire.Finding{Place: l.Place, Text: l.Text})
		}
		return connect.NewResponse(reply), nil
	}
	if limpeterror.Is(err, limpeterror.Unknown) {
		return nil, connect.NewError(connect.CodeUnknown, fmt.Errorf("the change may be in force or not; ask with show change: %w", err))
	}
	return nil, connect.NewError(connect.CodeUnavailable, err)
}

// bootstrapOperator is the key name in the principal of a caller that uses the
// operator key whose hash is in the settings. That key is accepted only until the
// configuration has an operator key.
const bootstrapOperator = "settings"

// authenticate returns the principal of an operator's call from its
// Authorization header. The error has type Unavailable if this VM cannot confirm
// its configuration, and otherwise type Denied.
func (n *Node) authenticate(header string) (limpetkey.Principal, error) {
	token, err := limpetkey.BearerToken(header)
	if err != nil {
		return limpetkey.Principal{}, err
	}
	v := n.View()
	if hash := n.settings.Operator.BootstrapKeyHash; hash != "" && !hasOperator(v.Config) {
		if subtle.ConstantTimeCompare([]byte(limpetkey.Hash(token)), []byte(hash)) == 1 {
			return limpetkey.Principal{Key: bootstrapOperator, Role: limpetconfig.Operator}, nil
		}
	}
	if !v.KeysAccepted {
		return limpetkey.Principal{}, limpeterror.Unavailable.New("this VM cannot confirm its configuration")
	}
	who, err := limpetkey.Authenticate(v.Config, v.Suspended, token)
	if err != nil {
		return who, err
	}
	if who.Role != limpetconfig.Operator && who.Role != limpetconfig.Viewer {
		return who, limpeterror.Denied.New("key %s is no operator key", who.Key)
	}
	return who, nil
}

func hasOperator(d *limpetconfig.Document) bool {
	for _, k := range d.Keys {
		if k.Role == limpetconfig.Operator {
			return true
		}
	}
	return false
}

// applyChanges appends a batch and waits up to applyTimeout until it is in force
// on all live VMs. A batch of unconditional withdrawals of keys takes effect
// before it is durable.
func (n *Node) applyChanges(ctx context.Context, q *limpetwire.RunRequest, author string, changes []limpetconfig.Change, reply *limpetwire.RunResponse) error {
	before := n.View().Config
	planned, err := limpetconfig.Plan(before, changes)
	if err != nil && q.GetDryRun() {
		return err
	}
	if q.GetDryRun() {
		reply.Results = append(reply.Results, &limpetwire.Result{Text: formatDiff(before, planned)})
		return nil
	}
	reached, suspended := 0, err == nil && onlyWithdrawals(changes)
	if suspended {
		reached = n.suspendWithdrawnKeys(before, changes)
	}
	timeout := appendTimeout
	if suspended && n.View().StoreDown {
		timeout = outageAppendTimeout
	}
	operation := q.GetOperation()
	if operation == "" {
		operation = newID()
	}
	appendCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	doc, err := n.appendChanges(appendCtx, operation, author, changes)
	var findings *limpeterror.Findings
	if err != nil && suspended && !errors.As(err, &findings) {
		reply.Durable = false
		n.withControl(func(c *control) { c.retryWithdrawals(changes) })
		reply.Results = append(reply.Results, &limpetwire.Result{
			Text: fmt.Sprintf("in force on %d VMs, not yet durable: the store does not answer; it will be recorded when it does", reached+1),
		})
		return nil
	}
	if err != nil {
		return err
	}
	reply.Index = doc.Index
	applied, total := n.waitApplied(ctx, doc.Index)
	reply.Results = append(reply.Results, &limpetwire.Result{
		Text: fmt.Sprintf("change %d in force on %d/%d VMs", doc.Index, applied, total),
	})
	return nil
}

// onlyWithdrawals reports whether a batch only withdraws keys and has no
// conditions. Only such a batch may take effect before it is durable, because
// any other batch may still be rejected as a whole.
func onlyWithdrawals(changes []limpetconfig.Change) bool {
	return !slices.ContainsFunc(changes, func(c limpetconfig.Change) bool {
		return c.Verb != limpetconfig.Remove || c.Entity != limpetconfig.Keys || len(c.If) > 0
	})
}

// suspendWithdrawnKeys suspends the keys that a batch removes on every reachable
// VM before the batch is durable, and returns the number of other VMs that
// confirmed within suspendWait: with several keys, the mean over the keys, rounded
// down. Calls to the remaining VMs are retried in the background.
func (n *Node) suspendWithdrawnKeys(before *limpetconfig.Document, changes []limpetconfig.Change) (reached int) {
	var mu sync.Mutex
	done := make(chan struct{})
	n.group.Go(func(ctx context.Context) error {
		defer close(done)
		var g errgroup.Group
		for _, c := range changes {
			q := &limpetwire.SuspendKeyRequest{Suspension: &limpetwire.Suspension{Key: c.Name, Hash: before.Keys[c.Name].Hash}}
			g.Go(func() error {
				n.broadcast(ctx, func(ctx context.Context, p limpetwire.PeerServiceClient) error {
					_, err := p.SuspendKey(ctx, connect.NewRequest(q))
					if err == nil {
						mu.Lock()
						reached++
						mu.Unlock()
					}
					return err
				})
				return nil
			})
		}
		return g.Wait()
	})
	for _, c := range changes {
		n.send(suspendEvent{key: c.Name, hash: before.Keys[c.Name].Hash})
	}
	n.withControl(func(*control) {})
	timer := time.NewTimer(suspendWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	mu.Lock()
	defer mu.Unlock()
	return reached / len(changes)
}

// retryWithdrawals makes this VM append the withdrawals once the store answers.
func (c *control) retryWithdrawals(changes []limpetconfig.Change) {
	for _, change := range changes {
		if s, ok := c.suspended[change.Name]; ok {
			s.retryAppend = true
			c.suspended[change.Name] = s
		}
	}
}

// suspendWait is how long a withdrawal waits for the other VMs to confirm the
// suspension.
const suspendWait = 300 * time.Millisecond

// waitApplied waits until every live VM has applied the configuration up to
// index, or until applyTimeout. It returns how many VMs have, and their total.
func (n *Node) waitApplied(ctx context.Context, index uint64) (applied, total int) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	n.group.Go(func(ctx context.Context) error { n.heartbeat(ctx); return nil })
	for {
		v := n.View()
		applied, total = 0, len(v.Members)+1
		if v.Config.Index >= index {
			applied++
		}
		for _, m := range v.Members {
			if m.Applied >= index {
				applied++
			}
		}
		if applied == total {
			return applied, total
		}
		timer := time.NewTimer(tickPeriod)
		select {
		case <-ctx.Done():
			timer.Stop()
			return applied, total
		case <-timer.C:
		}
	}
}

// formatDiff lists the objects that differ between two documents, with removed
// lines marked - and added lines marked +.
func formatDiff(before, after *limpetconfig.Document) string {
	var b strings.Builder
	for _, e := range limpetconfig.Entities() {
		old, next := before.Objects(e), after.Objects(e)
		for _, o := range old {
			if !slices.ContainsFunc(next, func(p limpetconfig.Object) bool { return p.Name == o.Name }) {
				fmt.Fprintf(&b, "- %s %s\n", e, o.Name)
			}
		}
		for _, o := range next {
			i := slices.IndexFunc(old, func(p limpetconfig.Object) bool { return p.Name == o.Name })
			if i < 0 {
				fmt.Fprintf(&b, "+ %s %s %s\n", e, o.Name, formatFields(o.Fields))
			} else if !slices.Equal(old[i].Fields, o.Fields) {
				fmt.Fprintf(&b, "- %s %s %s\n+ %s %s %s\n", e, o.Name, formatFields(old[i].Fields), e, o.Name, formatFields(o.Fields))
			}
		}
	}
	return b.String()
}

func formatFields(fields []limpetconfig.Setting) string {
	parts := make([]string, 0, len(fields))
	for _, f := range fields {
		if f.Field != "changed" {
			parts = append(parts, f.Field+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}

// perVMTables are the tables that are spread over all VMs.
var perVMTables = []string{"vm", "request", "lease", "quarantine", "usage"}

// runQuery collects the rows of a table, from all VMs if it is spread over them,
// and evaluates the query.
func (n *Node) runQuery(ctx context.Context, s *limpetlang.Show) (*limpetwire.Result, error) {
	entity := limpetlang.Singular(s.Entity)
	result := &limpetwire.Result{}
	var t limpetlang.Table
	if slices.Contains(perVMTables, entity) {
		t, result.Sources = n.collectAll(ctx, entity)
	} else {
		var err error
		if t, err = n.clusterTable(ctx, entity); err != nil {
			return nil, err
		}
	}
	out, err := s.Evaluate(t)
	if err != nil {
		return nil, err
	}
	result.Table = limpetoperator.EncodeTable(out)
	return result, nil
}

// collectAll collects a table's rows from all VMs. The sources list which VMs
// answered and which did not.
func (n *Node) collectAll(ctx context.Context, entity string) (limpetlang.Table, []*limpetwire.Source) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	t := limpetoperator.DecodeTable(n.localTable(entity))
	sources := []*limpetwire.Source{{Vm: n.self.Name, Answered: true}}
	var known []limpetmember.State
	n.withControl(func(c *control) { known = c.table.Known() })
	var mu sync.Mutex
	var g errgroup.Group
	for _, m := range known {
		g.Go(func() error {
			sent := time.Now()
			reply, err := n.client.Peer(m.Peer).Collect(ctx, connect.NewRequest(&limpetwire.CollectRequest{Entity: entity}))
			mu.Lock()
			defer mu.Unlock()
			source := &limpetwire.Source{Vm: m.Name, Answered: err == nil, AgeMs: time.Since(sent).Milliseconds()}
			if err != nil {
				source.Error = err.Error()
				source.AgeMs = time.Since(m.ReportedAt).Milliseconds()
			} else {
				t.AppendAligned(limpetoperator.DecodeTable(reply.Msg.GetTable()))
			}
			sources = append(sources, source)
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(sources, func(a, b *limpetwire.Source) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	return t, sources
}
