package limpetnode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetcaller"
	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetpeer"
	"limpetmount.org/internal/limpetrollout"
	"limpetmount.org/internal/limpetusage"
	"limpetmount.org/internal/limpetwire"
)

// peerService serves calls from other VMs.
type peerService struct {
	limpetwire.UnimplementedPeerServiceHandler
	node *Node
}

func (p *peerService) Heartbeat(_ context.Context, q *connect.Request[limpetwire.HeartbeatRequest]) (*connect.Response[limpetwire.HeartbeatResponse], error) {
	now := time.Now()
	p.node.receiveState(q.Msg.GetState(), limpetpeer.DecodeState(q.Msg.GetState(), now), false)
	p.node.receiveRelayed(q.Msg.GetOthers(), q.Msg.GetSigns(), now)
	if state := q.Msg.GetState(); state.GetApplied() > p.node.View().Config.Index && state.GetFrom().GetPeer() != "" {
		p.node.group.Go(func(ctx context.Context) error {
			p.node.pullConfig(ctx, state.GetFrom().GetPeer())
			return nil
		})
	}
	others, signs := p.node.replyToSigns(q.Msg.GetSigns(), now)
	return connect.NewResponse(&limpetwire.HeartbeatResponse{State: p.node.ownState(), Others: others, Signs: signs}), nil
}

func (p *peerService) PullConfig(_ context.Context, q *connect.Request[limpetwire.PullConfigRequest]) (*connect.Response[limpetwire.PullConfigResponse], error) {
	var entries []limpetconfig.Entry
	var doc *limpetconfig.Document
	complete := false
	p.node.withControl(func(c *control) {
		doc = c.doc
		entries, complete = c.entriesAfter(q.Msg.GetAfter())
	})
	reply := &limpetwire.PullConfigResponse{}
	if !complete && doc != nil {
		data, err := json.Marshal(doc)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		reply.Snapshot, reply.SnapshotIndex = data, doc.Index
	}
	for _, e := range entries {
		data, err := json.Marshal(e)
		if err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		reply.Entries = append(reply.Entries, data)
	}
	return connect.NewResponse(reply), nil
}

func (p *peerService) SuspendKey(_ context.Context, q *connect.Request[limpetwire.SuspendKeyRequest]) (*connect.Response[limpetwire.SuspendKeyResponse], error) {
	s := q.Msg.GetSuspension()
	p.node.send(suspendEvent{key: s.GetKey(), hash: s.GetHash()})
	// Reply only after the suspension is in force.
	p.node.withControl(func(*control) {})
	return connect.NewResponse(&limpetwire.SuspendKeyResponse{}), nil
}

func (p *peerService) ReportCrash(_ context.Context, q *connect.Request[limpetwire.ReportCrashRequest]) (*connect.Response[limpetwire.ReportCrashResponse], error) {
	p.node.send(crashEvent{fingerprint: q.Msg.GetFingerprint(), account: q.Msg.GetAccount(), server: q.Msg.GetServer()})
	return connect.NewResponse(&limpetwire.ReportCrashResponse{}), nil
}

func (p *peerService) ReportServed(_ context.Context, q *connect.Request[limpetwire.ReportServedRequest]) (*connect.Response[limpetwire.ReportServedResponse], error) {
	p.node.send(servedEvent(q.Msg.GetFingerprint()))
	return connect.NewResponse(&limpetwire.ReportServedResponse{}), nil
}

func (p *peerService) Claim(ctx context.Context, q *connect.Request[limpetwire.ClaimRequest]) (*connect.Response[limpetwire.ClaimResponse], error) {
	e, err := p.node.claims.Do(ctx, limpetpeer.DecodeClaim(q.Msg))
	if err != nil {
		return nil, limpetpeer.EncodeError(err)
	}
	return connect.NewResponse(limpetpeer.EncodeClaim(e)), nil
}

func (p *peerService) HoldUsage(_ context.Context, q *connect.Request[limpetwire.HoldUsageRequest]) (*connect.Response[limpetwire.HoldUsageResponse], error) {
	for _, data := range q.Msg.GetRecords() {
		r, err := limpetusage.DecodeRecord(data)
		if err != nil || r.Incarnation != q.Msg.GetIncarnation() {
			return nil, connect.NewError(connect.CodeInvalidArgument, limpeterror.Invalid.New("usage record of %s", q.Msg.GetIncarnation()))
		}
		p.node.usageReplicas.Put(r)
	}
	return connect.NewResponse(&limpetwire.HoldUsageResponse{}), nil
}

func (p *peerService) CallJob(ctx context.Context, q *connect.Request[limpetwire.CallJobRequest]) (*connect.Response[limpetwire.CallJobResponse], error) {
	job, ok := p.node.View().Config.Jobs[q.Msg.GetJob()]
	if ok && job.Account != q.Msg.GetAccount() {
		return nil, limpetpeer.EncodeError(limpeterror.Denied.New("job %s is not of client account %s", job.Name, q.Msg.GetAccount()))
	}
	status, body, ok := p.node.callLocalJob(ctx, q.Msg.GetJob(), limpetrollout.Operation(q.Msg.GetOperation()), q.Msg.GetBody())
	if !ok {
		return nil, limpetpeer.EncodeError(limpeterror.Unavailable.New("VM %s does not own job %s", p.node.self.Name, q.Msg.GetJob()))
	}
	return connect.NewResponse(&limpetwire.CallJobResponse{Status: int32(status), Body: body}), nil
}

func (p *peerService) Collect(_ context.Context, q *connect.Request[limpetwire.CollectRequest]) (*connect.Response[limpetwire.CollectResponse], error) {
	return connect.NewResponse(&limpetwire.CollectResponse{Table: p.node.localTable(q.Msg.GetEntity())}), nil
}

// claim sends a claim to the VM that commits its shard, so that claims can be
// batched into one write. Any VM may commit any shard: if the chosen VM cannot
// be reached, this VM commits the claim, and compare-and-swap in the store
// keeps it unique.
func (n *Node) claim(ctx context.Context, r limpetclaim.Request) (limpetclaim.Entry, error) {
	v := n.View()
	subject := fmt.Sprintf("claim/%d", limpetclaim.ShardOf(r.Claim))
	names := memberNames(v.Members)
	if limpetmember.Rank(subject, n.self.Name, names) != 0 {
		for _, m := range v.Members {
			if limpetmember.Rank(subject, m.Name, append(without(names, m.Name), n.self.Name)) == 0 {
				callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
				e, err := n.client.Claim(callCtx, m.Peer, r)
				cancel()
				if err == nil {
					return e, nil
				}
			}
		}
	}
	return n.claims.Do(ctx, r)
}

const claimTimeout = 2 * time.Second

func without(names []string, name string) []string {
	var rest []string
	for _, n := range names {
		if n != name {
			rest = append(rest, n)
		}
	}
	return rest
}

// callJob runs a trainer's call on this VM if it owns the job, and otherwise
// forwards it to the VM that does. It returns the HTTP status and the body of the
// response. The error has type Unavailable if no VM owns the job at present.
func (n *Node) callJob(ctx context.Context, account, job string, operation limpetrollout.Operation, body []byte) (int, []byte, error) {
	if status, answer, ok := n.callLocalJob(ctx, job, operation, body); ok {
		return status, answer, nil
	}
	for _, m := range n.View().Members {
		for _, d := range m.Duties {
			if d != jobDuty(job) {
				continue
			}
			reply, err := n.client.Peer(m.Peer).CallJob(ctx, connect.NewRequest(&limpetwire.CallJobRequest{
				Account: account, Job: job, Operation: string(operation), Body: body,
			}))
			if err != nil {
				return 0, nil, limpetpeer.DecodeError(err, m.Peer)
			}
			return int(reply.Msg.GetStatus()), reply.Msg.GetBody(), nil
		}
	}
	return 0, nil, limpeterror.Unavailable.New("job %s is changing its owner; ask again", job)
}

// callLocalJob runs a call if this VM owns the job and has not found that another
// owner has taken it over, and returns false otherwise.
func (n *Node) callLocalJob(ctx context.Context, job string, operation limpetrollout.Operation, body []byte) (int, []byte, bool) {
	n.mu.Lock()
	r := n.runners[job]
	n.mu.Unlock()
	if r == nil || r.Fenced() {
		return 0, nil, false
	}
	reply, err := r.Call(ctx, operation, body)
	if err == nil {
		var data []byte
		if data, err = json.Marshal(reply); err == nil {
			return http.StatusOK, data, true
		}
	}
	status, data := limpetcaller.JobError(err)
	return status, data, true
}
