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

// operatorService answers limpetctl.
type operatorService struct {
	node *Node
}

const (
	appendTimeout   = 5 * time.Second
	inForceTimeout  = 4 * time.Second
	collectTimeout  = 2 * time.Second
	durableAttempts = 1500 * time.Millisecond
)

// Run parses a batch, checks who asks, and runs its changes and queries.
func (o *operatorService) Run(ctx context.Context, q *connect.Request[limpetwire.RunRequest]) (*connect.Response[limpetwire.RunResponse], error) {
	who, err := o.node.operator(q.Header().Get("Authorization"))
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
		if err := o.node.change(ctx, q.Msg, who.Key, changes, reply); err != nil {
			return findingsReply(err)
		}
	}
	for _, s := range batch.Statements {
		if s.Show == nil {
			continue
		}
		result, err := o.node.query(ctx, s.Show)
		if err != nil {
			return findingsReply(err)
		}
		reply.Results = append(reply.Results, result)
	}
	return connect.NewResponse(reply), nil
}

// findingsReply answers with all findings of a batch, or with the error.
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

// firstOperator is the principal of the key in the settings.
const firstOperator = "settings"

// operator returns who an operator's call comes from.
func (n *Node) operator(header string) (limpetkey.Principal, error) {
	token, err := limpetkey.Bearer(header)
	if err != nil {
		return limpetkey.Principal{}, err
	}
	v := n.View()
	if hash := n.settings.Operator.Hash; hash != "" && !hasOperator(v.Config) {
		if subtle.ConstantTimeCompare([]byte(limpetkey.Hash(token)), []byte(hash)) == 1 {
			return limpetkey.Principal{Key: firstOperator, Role: limpetconfig.Operator}, nil
		}
	}
	if !v.Honour {
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

// change appends a batch and waits until it is in force on all live VMs.
// Withdrawals are in force before they are durable.
func (n *Node) change(ctx context.Context, q *limpetwire.RunRequest, who string, changes []limpetconfig.Change, reply *limpetwire.RunResponse) error {
	before := n.View().Config
	planned, err := limpetconfig.Plan(before, changes)
	if err != nil && q.GetDryRun() {
		return err
	}
	if q.GetDryRun() {
		reply.Results = append(reply.Results, &limpetwire.Result{Text: difference(before, planned)})
		return nil
	}
	told, suspended := 0, err == nil && onlyWithdrawals(changes)
	if suspended {
		told = n.suspendWithdrawn(before, changes)
	}
	timeout := appendTimeout
	if suspended && n.View().StoreDown {
		timeout = durableAttempts
	}
	operation := q.GetOperation()
	if operation == "" {
		operation = unique()
	}
	appendCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	doc, err := n.appendChanges(appendCtx, operation, who, changes)
	var findings *limpeterror.Findings
	if err != nil && suspended && !errors.As(err, &findings) {
		reply.Durable = false
		n.ask(func(c *control) { c.ownSuspensions(changes) })
		reply.Results = append(reply.Results, &limpetwire.Result{
			Text: fmt.Sprintf("in force on %d VMs, not yet durable: the store does not answer; it will be recorded when it does", told+1),
		})
		return nil
	}
	if err != nil {
		return err
	}
	reply.Index = doc.Index
	in, all := n.waitInForce(ctx, doc.Index)
	reply.Results = append(reply.Results, &limpetwire.Result{
		Text: fmt.Sprintf("change %d in force on %d/%d VMs", doc.Index, in, all),
	})
	return nil
}

// onlyWithdrawals reports whether a batch does nothing but withdraw keys
// without conditions. Only then may it take effect before it is durable: other
// batches can still be refused whole.
func onlyWithdrawals(changes []limpetconfig.Change) bool {
	return !slices.ContainsFunc(changes, func(c limpetconfig.Change) bool {
		return c.Verb != limpetconfig.Remove || c.Entity != limpetconfig.Keys || len(c.If) > 0
	})
}

// suspendWithdrawn stops the keys that a batch removes on every VM that can be
// reached, before the batch is durable, and returns how many other VMs did so.
// VMs that do not answer at once are told again in the background.
func (n *Node) suspendWithdrawn(before *limpetconfig.Document, changes []limpetconfig.Change) (told int) {
	var mu sync.Mutex
	done := make(chan struct{})
	n.group.Go(func(ctx context.Context) error {
		defer close(done)
		var g errgroup.Group
		for _, c := range changes {
			q := &limpetwire.SuspendKeyRequest{Suspension: &limpetwire.Suspension{Key: c.Name, Hash: before.Keys[c.Name].Hash}}
			g.Go(func() error {
				n.tellAll(ctx, func(ctx context.Context, p limpetwire.PeerServiceClient) error {
					_, err := p.SuspendKey(ctx, connect.NewRequest(q))
					if err == nil {
						mu.Lock()
						told++
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
	n.ask(func(*control) {})
	timer := time.NewTimer(tellWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	mu.Lock()
	defer mu.Unlock()
	return told / len(changes)
}

// ownSuspensions makes this VM append the withdrawals when the store answers.
func (c *control) ownSuspensions(changes []limpetconfig.Change) {
	for _, change := range changes {
		if s, ok := c.suspended[change.Name]; ok {
			s.own = true
			c.suspended[change.Name] = s
		}
	}
}

// tellWait is how long a withdrawal waits for the other VMs before it goes on.
const tellWait = 300 * time.Millisecond

// waitInForce waits until every live VM has applied an index, and returns how
// many have.
func (n *Node) waitInForce(ctx context.Context, index uint64) (in, all int) {
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	n.group.Go(func(ctx context.Context) error { n.heartbeat(ctx); return nil })
	for {
		v := n.View()
		in, all = 0, len(v.Members)+1
		if v.Config.Index >= index {
			in++
		}
		for _, m := range v.Members {
			if m.Applied >= index {
				in++
			}
		}
		if in == all {
			return in, all
		}
		timer := time.NewTimer(tickPeriod)
		select {
		case <-ctx.Done():
			timer.Stop()
			return in, all
		case <-timer.C:
		}
	}
}

// difference lists the objects that a batch would change.
func difference(before, after *limpetconfig.Document) string {
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

// perVM are the tables of which each VM has a part.
var perVM = []string{"vm", "request", "lease", "quarantine", "usage"}

// query gathers a table, here or from all VMs, and evaluates the query.
func (n *Node) query(ctx context.Context, s *limpetlang.Show) (*limpetwire.Result, error) {
	entity := limpetlang.Normalize(s.Entity)
	result := &limpetwire.Result{}
	var t limpetlang.Table
	if slices.Contains(perVM, entity) {
		t, result.Sources = n.gather(ctx, entity)
	} else {
		var err error
		if t, err = n.table(ctx, entity); err != nil {
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

// gather collects a table's parts from all VMs. VMs that do not answer are
// named in the sources.
func (n *Node) gather(ctx context.Context, entity string) (limpetlang.Table, []*limpetwire.Source) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	t := limpetoperator.DecodeTable(n.collect(entity))
	sources := []*limpetwire.Source{{Vm: n.self.Name, Answered: true}}
	var known []limpetmember.State
	n.ask(func(c *control) { known = c.table.Known() })
	var mu sync.Mutex
	var g errgroup.Group
	for _, m := range known {
		g.Go(func() error {
			sent := time.Now()
			reply, err := n.client.At(m.Peer).Collect(ctx, connect.NewRequest(&limpetwire.CollectRequest{Entity: entity}))
			mu.Lock()
			defer mu.Unlock()
			source := &limpetwire.Source{Vm: m.Name, Answered: err == nil, AgeMs: time.Since(sent).Milliseconds()}
			if err != nil {
				source.Error = err.Error()
				source.AgeMs = time.Since(m.Heard).Milliseconds()
			} else {
				t.Rows = append(t.Rows, limpetoperator.DecodeTable(reply.Msg.GetTable()).Rows...)
			}
			sources = append(sources, source)
			return nil
		})
	}
	_ = g.Wait()
	slices.SortFunc(sources, func(a, b *limpetwire.Source) int { return strings.Compare(a.GetVm(), b.GetVm()) })
	return t, sources
}
