package limpetrelay

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetjob"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpetwindow"
	"limpetmount.org/internal/limpetwire"
)

const (
	// answerTime is allowed for an answer beyond the time that it may wait.
	answerTime = 400 * time.Millisecond
	relayIdle  = 16
)

// A Client calls the handlers of another VM.
type Client struct {
	relay limpetwire.RelayClient
	// ready is where this VM says whether it is ready.
	ready string
}

// NewHTTP returns the HTTP client that relays share.
func NewHTTP() *http.Client {
	return &http.Client{Transport: limpethttp.NewWatchfulTransport(relayIdle)}
}

// NewClient returns a client of the VM at an address, IP:PORT. Ready is where
// the calling VM says whether it is ready.
func NewClient(client *http.Client, address, ready string) *Client {
	return &Client{ready: ready, relay: limpetwire.NewRelayClient(client, "http://"+address)}
}

// Follow returns what changed since a position, and whether the VM is the
// director.
func (c *Client) Follow(ctx context.Context, epoch string, position uint64, wait time.Duration) (Update, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	r, err := c.relay.Follow(ctx, connect.NewRequest(&limpetwire.FollowRequest{Epoch: epoch, Position: position, WaitMs: wait.Milliseconds(), Ready: c.ready}))
	if err != nil {
		return Update{}, false, err
	}
	u := Update{
		Epoch: r.Msg.Epoch, Position: r.Msg.Position, Full: r.Msg.Full, Feeds: map[string]uint64{},
		Age: time.Duration(r.Msg.AgeMs) * time.Millisecond,
	}
	for _, v := range r.Msg.Values {
		u.Changes = append(u.Changes, Change{Feed: v.Feed, Value: limpetstore.Value{
			Key: v.Key, Data: v.Data, Revision: v.Revision, Deleted: v.Deleted,
		}})
	}
	for _, f := range r.Msg.Feeds {
		u.Feeds[f.Feed] = f.Revision
	}
	return u, r.Msg.Directing, nil
}

// Results returns a job's results from a position on, if the VM knows the job.
func (c *Client) Results(ctx context.Context, job, account string, after int, wait time.Duration) (page limpetjob.Page, denied, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
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

// Count hands usage counts over. It reports whether they were taken.
func (c *Client) Count(ctx context.Context, counter string, windows map[int64]limpetwindow.Counts) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
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
