package limpetrelay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetlimit"
	"limpetmount.org/internal/limpetorigin"
	"limpetmount.org/internal/limpetsilence"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetwindow"
	"limpetmount.org/internal/limpetwire"
)

const (
	// responseMargin is allowed for a response in addition to the time for
	// which the server may hold the request.
	responseMargin = 400 * time.Millisecond
	maxIdleConns   = 16
)

// A Client calls the Handlers of another VM.
type Client struct {
	relay limpetwire.RelayClient
	self  Follower
}

// A Follower describes a VM that follows a director.
type Follower struct {
	VM, Zone string
	// Ready is the address at which the VM reports its readiness, and Relay the one
	// at which other VMs reach it.
	Ready, Relay string
}

func (f Follower) request(epoch string, position uint64, wait time.Duration, leaving []limpetsite.Leaving) *limpetwire.FollowRequest {
	r := &limpetwire.FollowRequest{
		Epoch: epoch, Position: position, WaitMs: wait.Milliseconds(), Ready: f.Ready, Vm: f.VM, Zone: f.Zone, Relay: f.Relay, Unpacks: true,
	}
	for _, l := range leaving {
		r.Leaving = append(r.Leaving, &limpetwire.LeavingServer{Id: l.Server, Incarnation: l.Incarnation})
	}
	return r
}

// NewHTTPClient returns an HTTP client to share between Clients.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: limpethttp.NewKeepAliveTransport(maxIdleConns)}
}

// NewClient returns a client of the VM at an address, IP:PORT, for the VM self.
func NewClient(client *http.Client, address string, self Follower) *Client {
	return &Client{self: self, relay: limpetwire.NewRelayClient(refusable{client}, "http://"+address, uncompressed)}
}

// A refusable client returns an error of type Overloaded for messages that a VM refused
// before their handler ran. No answer of a handler has a Retry-After header.
type refusable struct{ *http.Client }

// Do implements connect.HTTPClient.
func (c refusable) Do(r *http.Request) (*http.Response, error) {
	response, err := c.Client.Do(r)
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		return response, err
	}
	// The answer is known.
	_ = response.Body.Close()
	return nil, limpeterror.Overloaded.New("the VM has no room for the message")
}

// Follow returns what changed since a position, and whether the VM is the
// director. It waits up to the given time for a change. It tells the VM which
// backend servers said that they are leaving.
func (c *Client) Follow(ctx context.Context, epoch string, position uint64, wait time.Duration, leaving []limpetsite.Leaving) (Update, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	r, err := c.relay.Follow(ctx, connect.NewRequest(c.self.request(epoch, position, wait, leaving)))
	if err != nil {
		return Update{}, false, err
	}
	u := Update{
		Epoch: r.Msg.Epoch, Position: r.Msg.Position, Full: r.Msg.Full, Feeds: map[string]uint64{},
		Age: time.Duration(r.Msg.AgeMs) * time.Millisecond,
	}
	for _, v := range r.Msg.Values {
		if len(v.Packed) > 0 {
			if v.Data, err = unpack(v.Packed); err != nil {
				return Update{}, false, err
			}
		}
		u.Changes = append(u.Changes, Change{Feed: v.Feed, Value: limpetstore.Value{
			Key: v.Key, Data: v.Data, Revision: v.Revision, Deleted: v.Deleted,
		}})
	}
	for _, f := range r.Msg.Feeds {
		u.Feeds[f.Feed] = f.Revision
	}
	return u, r.Msg.Directing, nil
}

// Results returns a job's results from a position on. Known is false if the VM
// cannot answer for the job; denied is set if the job belongs to another
// account.
func (c *Client) Results(ctx context.Context, job, account string, after int, wait time.Duration) (page limpetjob.Page, denied, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseMargin)
	defer cancel()
	r, err := c.relay.Results(ctx, connect.NewRequest(&limpetwire.ResultsRequest{Job: job, Account: account, After: int64(after), WaitMs: wait.Milliseconds()}))
	if err != nil {
		return limpetjob.Page{}, false, false, err
	}
	page = limpetjob.Page{Total: int(r.Msg.Total), Next: after + len(r.Msg.Results)}
	for _, x := range r.Msg.Results {
		page.Results = append(page.Results, limpetjob.Result{
			ID: x.Id, State: limpetjob.State(x.State), Text: x.Text, Versions: ints(x.Versions), Score: x.Score,
		})
	}
	return page, r.Msg.Denied, r.Msg.Known, nil
}

// Permit asks the VM for a permit to send a request to a limited server. The error
// has type Unavailable if the VM is not the director.
func (c *Client) Permit(ctx context.Context, r limpetlimit.Request, now time.Time) (limpetlimit.Grant, error) {
	request := &limpetwire.PermitRequest{Servers: r.Servers, MaxDelayUs: r.MaxDelay.Microseconds(), Look: r.Look}
	for _, l := range r.Limits {
		request.Limits = append(request.Limits, &limpetwire.ObservedLimit{
			Server: l.Server, Incarnation: l.Incarnation, Rate: l.Rate, AgeMs: now.Sub(l.At).Milliseconds(),
		})
	}
	for _, f := range r.Cold {
		request.Cold = append(request.Cold, &limpetwire.ColdServer{
			Server: f.Server, Service: f.Service, Incarnation: f.Incarnation, LeftMs: leftMillis(f, now), AgeMs: now.Sub(f.At).Milliseconds(), Presumed: f.Presumed,
		})
	}
	reply, err := c.relay.Permit(ctx, connect.NewRequest(request))
	if err != nil {
		return limpetlimit.Grant{}, err
	}
	if !reply.Msg.Directing {
		return limpetlimit.Grant{}, limpeterror.Unavailable.New("the VM is not the director")
	}
	return limpetlimit.Grant{
		Server: reply.Msg.Server, Delay: time.Duration(reply.Msg.DelayUs) * time.Microsecond,
		RetryAfter: time.Duration(reply.Msg.RetryAfterUs) * time.Microsecond, VMs: int(reply.Msg.Vms), KnowsCold: reply.Msg.KnowsCold,
	}, nil
}

// Silence tells the VM, which is the director, of a backend server that takes no
// connections.
func (c *Client) Silence(ctx context.Context, f limpetsilence.Finding) error {
	_, err := c.relay.Silence(ctx, connect.NewRequest(&limpetwire.SilenceRequest{Server: f.Server, Incarnation: f.Incarnation}))
	return err
}

// Term asks the VM which VM the store recorded as the director lately. The error has
// type Unavailable if that VM got no answer from the store.
func (c *Client) Term(ctx context.Context) (vm, address string, err error) {
	reply, err := c.relay.Term(ctx, connect.NewRequest(&limpetwire.TermRequest{}))
	var refusal *connect.Error
	if errors.As(err, &refusal) && connect.IsWireError(err) && refusal.Code() == connect.CodeUnavailable {
		return "", "", limpeterror.Unavailable.Wrap(err, "the VM gets no answer from the store")
	}
	if err != nil {
		return "", "", limpeterror.Unknown.Wrap(err, "ask for the director")
	}
	return reply.Msg.Vm, reply.Msg.Address, nil
}

// SendOrigins hands records of which software began streams to the director. The
// error has type Unavailable if the VM is not the director.
func (c *Client) SendOrigins(ctx context.Context, records []limpetorigin.Record) error {
	type start struct {
		software    limpetsite.Software
		server      string
		incarnation int64
	}
	batches := map[start]*limpetwire.OriginBatch{}
	request := &limpetwire.OriginRequest{}
	for _, r := range records {
		key := start{software: r.Software, server: r.Sender.Server, incarnation: r.Sender.Incarnation}
		batch := batches[key]
		if batch == nil {
			batch = &limpetwire.OriginBatch{Software: string(r.Software), Server: r.Sender.Server, Incarnation: r.Sender.Incarnation}
			batches[key] = batch
			request.Records = append(request.Records, batch)
		}
		batch.Streams = append(batch.Streams, uint64(r.Stream))
		if r.Sender.Server != "" {
			batch.BeganMs = append(batch.BeganMs, r.Sender.Began.UnixMilli())
		}
	}
	reply, err := c.relay.Origin(ctx, connect.NewRequest(request))
	if err != nil {
		return err
	}
	if !reply.Msg.Taken {
		return limpeterror.Unavailable.New("the VM is not the director")
	}
	return nil
}

// Origin asks the VM which software began a stream.
func (c *Client) Origin(ctx context.Context, s limpetorigin.Stream) (limpetorigin.Found, error) {
	reply, err := c.relay.Origin(ctx, connect.NewRequest(&limpetwire.OriginRequest{Asked: uint64(s)}))
	if err != nil {
		return limpetorigin.Found{}, err
	}
	found := limpetorigin.Found{Software: limpetsite.Software(reply.Msg.Software), Sure: reply.Msg.Sure}
	if reply.Msg.Server != "" {
		found.Sender = limpetorigin.Sender{Server: reply.Msg.Server, Incarnation: reply.Msg.Incarnation, Began: time.UnixMilli(reply.Msg.BeganMs)}
	}
	return found, nil
}

// Count sends usage counts to the VM. It reports whether they were accepted.
func (c *Client) Count(ctx context.Context, counter string, windows map[int64]limpetwindow.Counts) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, responseMargin)
	defer cancel()
	request := &limpetwire.CountRequest{Counter: counter}
	for number, counts := range windows {
		w := &limpetwire.CountedWindow{Window: number, Counts: map[string]int64{}}
		for account, n := range counts {
			w.Counts[account] = int64(n)
		}
		request.Windows = append(request.Windows, w)
	}
	r, err := c.relay.Count(ctx, connect.NewRequest(request))
	if err != nil {
		return false, err
	}
	return r.Msg.Taken, nil
}

// leftMillis returns how much longer a server is cold. While the margin after that time
// lasts, it is not said to be warm.
func leftMillis(f limpetlimit.Cold, now time.Time) int64 {
	if !f.Until.After(f.At) {
		return 0
	}
	return max(1, f.Until.Sub(now).Milliseconds())
}
