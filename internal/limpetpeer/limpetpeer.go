// Package limpetpeer is the client for calls between VMs. It manages connections
// and their timeouts, and converts between wire messages and the system's types.
// It makes no decisions.
package limpetpeer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetclaim"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetmember"
	"limpetmount.org/internal/limpetwire"
)

// HTTP/2 pings detect dead connections, which are then replaced. A ping is sent
// when nothing was received for pingAfter.
const (
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second
)

// A Client calls other VMs and keeps its connections to them open.
type Client struct {
	client *http.Client
	mu     sync.Mutex
	peers  map[string]limpetwire.PeerServiceClient
}

// A DialFunc opens a connection to another VM. Tests replace it to inject
// network faults.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

const dialTimeout = time.Second

// NewDialFunc returns the DialFunc for normal operation, whose timeout is
// dialTimeout.
func NewDialFunc() DialFunc { return (&net.Dialer{Timeout: dialTimeout}).DialContext }

// New returns a client that authenticates with the certificate in config.
func New(config *tls.Config, dial DialFunc) *Client {
	return &Client{
		client: &http.Client{Transport: &http.Transport{
			DialContext:     dial,
			TLSClientConfig: config, ForceAttemptHTTP2: true, TLSHandshakeTimeout: 2 * time.Second,
			IdleConnTimeout: 30 * time.Second,
			HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		}},
		peers: map[string]limpetwire.PeerServiceClient{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.client.CloseIdleConnections() }

// Peer returns the peer service of the VM at address.
func (c *Client) Peer(address string) limpetwire.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.peers[address]
	if !ok {
		p = limpetwire.NewPeerServiceClient(c.client, "https://"+address)
		c.peers[address] = p
	}
	return p
}

// DecodeError converts a call's error to one of the system's error types. It
// returns Unknown when the error does not tell whether the call took effect.
func DecodeError(err error, peer string) error {
	var e *connect.Error
	if !errors.As(err, &e) {
		return limpeterror.Unknown.Wrap(err, "VM at %s", peer)
	}
	switch e.Code() {
	case connect.CodeFailedPrecondition, connect.CodeResourceExhausted:
		return limpeterror.Unavailable.Wrap(err, "VM at %s", peer)
	case connect.CodeInvalidArgument:
		return limpeterror.Invalid.Wrap(err, "VM at %s", peer)
	case connect.CodePermissionDenied, connect.CodeUnauthenticated:
		return limpeterror.Denied.Wrap(err, "VM at %s", peer)
	default:
		return limpeterror.Unknown.Wrap(err, "VM at %s", peer)
	}
}

// EncodeError converts one of the system's errors to an error for the wire.
func EncodeError(err error) error {
	switch {
	case err == nil:
		return nil
	case limpeterror.Is(err, limpeterror.Unavailable), limpeterror.Is(err, limpeterror.Overloaded):
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case limpeterror.Is(err, limpeterror.Invalid):
		return connect.NewError(connect.CodeInvalidArgument, err)
	case limpeterror.Is(err, limpeterror.Denied):
		return connect.NewError(connect.CodePermissionDenied, err)
	default:
		return connect.NewError(connect.CodeUnknown, err)
	}
}

// EncodeState converts a VM's state to its wire message, with ages as of now.
func EncodeState(s limpetmember.State, now time.Time, suspended []*limpetwire.Suspension, consumed []*limpetwire.AccountTokens) *limpetwire.NodeState {
	age := int64(-1)
	if !s.ConfirmedAt.IsZero() {
		age = now.Sub(s.ConfirmedAt).Milliseconds()
	}
	return &limpetwire.NodeState{
		From:    &limpetwire.VM{Name: s.Name, Incarnation: s.Incarnation, Zone: s.Zone, Peer: s.Peer, StartedMs: s.Started.UnixMilli()},
		Applied: s.Applied, ConfirmedAgeMs: age, StoreDown: s.StoreDown, Leaving: s.Leaving,
		Duties: s.Duties, Suspended: suspended, Consumed: consumed, HeardAgeMs: now.Sub(s.ReportedAt).Milliseconds(),
		Version: s.Version,
	}
}

// DecodeState converts a wire message to a VM's state. Ages are subtracted from
// base, the time before the call was sent, so that after a slow call the state
// appears older than it is, never newer.
func DecodeState(n *limpetwire.NodeState, base time.Time) limpetmember.State {
	s := limpetmember.State{
		VM: limpetmember.VM{
			Name: n.GetFrom().GetName(), Incarnation: n.GetFrom().GetIncarnation(),
			Zone: n.GetFrom().GetZone(), Peer: n.GetFrom().GetPeer(),
			Started: time.UnixMilli(n.GetFrom().GetStartedMs()),
		},
		Applied: n.GetApplied(), StoreDown: n.GetStoreDown(), Leaving: n.GetLeaving(), Duties: n.GetDuties(),
		Consumed:   map[string]uint64{},
		Version:    n.GetVersion(),
		ReportedAt: base.Add(-time.Duration(n.GetHeardAgeMs()) * time.Millisecond),
	}
	if n.GetConfirmedAgeMs() >= 0 {
		s.ConfirmedAt = base.Add(-time.Duration(n.GetConfirmedAgeMs()) * time.Millisecond)
	}
	for _, c := range n.GetConsumed() {
		s.Consumed[c.GetService()+"/"+c.GetAccount()] = c.GetTokens()
	}
	return s
}

// signAgeUnit is the unit of ages in Signs.
const signAgeUnit = 100 * time.Millisecond

// EncodeSigns converts signs to their wire message, with ages as of now, rounded
// up.
func EncodeSigns(signs []limpetmember.Sign, now time.Time) *limpetwire.Signs {
	m := &limpetwire.Signs{}
	for _, s := range signs {
		age := max(0, now.Sub(s.ReportedAt)+signAgeUnit-1)
		m.Ids, m.Ages, m.Versions = append(m.Ids, s.ID), append(m.Ages, uint32(age/signAgeUnit)), append(m.Versions, s.Version)
	}
	return m
}

// DecodeSigns converts a wire message to signs. Ages are subtracted from base, as
// in DecodeState. Of fields with different numbers of elements the rest is
// ignored.
func DecodeSigns(m *limpetwire.Signs, base time.Time) []limpetmember.Sign {
	count := min(len(m.GetIds()), len(m.GetAges()), len(m.GetVersions()))
	signs := make([]limpetmember.Sign, count)
	for i := range signs {
		signs[i] = limpetmember.Sign{
			ID: m.GetIds()[i], Version: m.GetVersions()[i],
			ReportedAt: base.Add(-time.Duration(m.GetAges()[i]) * signAgeUnit),
		}
	}
	return signs
}

// Claim sends a claim to the VM at address and returns the claim in force.
func (c *Client) Claim(ctx context.Context, address string, r limpetclaim.Request) (limpetclaim.Entry, error) {
	reply, err := c.Peer(address).Claim(ctx, connect.NewRequest(&limpetwire.ClaimRequest{
		Claim: r.Claim, Attempt: r.Attempt, Digest: r.Digest, State: string(r.State), Status: int32(r.Status), Body: r.Body,
	}))
	if err != nil {
		return limpetclaim.Entry{}, DecodeError(err, address)
	}
	m := reply.Msg
	return limpetclaim.Entry{Attempt: m.GetAttempt(), Digest: m.GetDigest(), State: limpetclaim.State(m.GetState()), Status: int(m.GetStatus()), Body: m.GetBody()}, nil
}

// DecodeClaim converts a wire message to a claim.
func DecodeClaim(m *limpetwire.ClaimRequest) limpetclaim.Request {
	return limpetclaim.Request{
		Claim: m.GetClaim(), Attempt: m.GetAttempt(), Digest: m.GetDigest(),
		State: limpetclaim.State(m.GetState()), Status: int(m.GetStatus()), Body: m.GetBody(),
	}
}

// EncodeClaim converts the claim in force to its wire message.
func EncodeClaim(e limpetclaim.Entry) *limpetwire.ClaimResponse {
	return &limpetwire.ClaimResponse{Attempt: e.Attempt, Digest: e.Digest, State: string(e.State), Status: int32(e.Status), Body: e.Body}
}
