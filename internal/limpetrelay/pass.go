package limpetrelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetupstream"
	"limpetmount.org/internal/limpetwire"
)

// takenTimeout is how long a VM may take to say that it takes a call.
const takenTimeout = 150 * time.Millisecond

// Pass sends a call to a backend server through the VM. Secret proves that the
// caller is a VM of the system. The error has type Overloaded if the VM did not take
// the call, which was certainly not sent, or may be sent again, and Unavailable if no VM
// can take it.
func (c *Client) Pass(ctx context.Context, secret []byte, call limpetupstream.Call) (*limpetupstream.Reply, error) {
	if err := checkTexts(call.Header, call.ID, call.Target, call.Host); err != nil {
		return nil, limpeterror.Unavailable.Wrap(err, "the call is not passed on")
	}
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(takenTimeout, cancel)
	stream, err := c.relay.Pass(ctx, connect.NewRequest(passRequest(secret, call)))
	if err == nil && !stream.Receive() {
		err = cmpError(stream.Err())
	}
	inTime := timer.Stop()
	if err != nil || !inTime {
		cancel()
		return nil, notTakenError(err, call)
	}
	p := &passedCall{ctx: ctx, cancel: cancel, stream: stream}
	if end := stream.Msg().GetEnd(); end != nil {
		p.close()
		return nil, endError(end)
	}
	reply, err := p.answer()
	if err != nil {
		p.close()
		return nil, err
	}
	return reply, nil
}

// cmpError returns err, or io.ErrUnexpectedEOF if it is nil.
func cmpError(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// notTakenError returns the error of a call that a VM did not take in time. A call
// that must not run twice may have been sent, unless no connection came about.
func notTakenError(err error, call limpetupstream.Call) error {
	err = cmpError(err)
	if limpeterror.Is(err, limpeterror.Overloaded) {
		return limpeterror.Overloaded.Wrap(err, "the VM refused the call")
	}
	if call.Once && !limpeterror.Is(limpethttp.Classify(err, "VM"), limpeterror.Unavailable) {
		return limpeterror.Silent.Wrap(err, "the VM may have taken the call")
	}
	return limpeterror.Overloaded.Wrap(err, "the VM does not answer")
}

// endError returns the error of an attempt that ended.
func endError(end *limpetwire.PassedEnd) error {
	switch {
	case end.NotTaken:
		return limpeterror.Overloaded.New("%s", end.Text)
	case end.Ending == limpetupstream.NotConnected:
		return limpeterror.Unavailable.New("%s", end.Text)
	case end.Ending == limpetupstream.Disconnected:
		return limpeterror.Disconnected.New("%s", end.Text)
	case end.Ending == limpetupstream.Silent:
		return limpeterror.Silent.New("%s", end.Text)
	default:
		return limpeterror.Unknown.New("%s", end.Text)
	}
}

// A passedCall is a call that another VM has taken.
type passedCall struct {
	ctx    context.Context
	cancel context.CancelFunc
	stream *connect.ServerStreamForClient[limpetwire.PassReply]
}

func (p *passedCall) close() {
	p.cancel()
	// The call is over, whatever the error.
	_ = p.stream.Close()
}

// next returns the next part of the reply.
func (p *passedCall) next() (*limpetwire.PassReply, error) {
	if p.stream.Receive() {
		return p.stream.Msg(), nil
	}
	if p.ctx.Err() != nil {
		return nil, limpeterror.Silent.Wrap(p.ctx.Err(), "the VM that has the call")
	}
	return nil, limpeterror.Disconnected.Wrap(cmpError(p.stream.Err()), "the VM that has the call")
}

// answer returns the answer of the server.
func (p *passedCall) answer() (*limpetupstream.Reply, error) {
	m, err := p.next()
	if err != nil {
		return nil, err
	}
	if end := m.GetEnd(); end != nil {
		return nil, endError(end)
	}
	a := m.GetAnswer()
	if a == nil {
		return nil, limpeterror.Unknown.New("the VM that has the call sent no answer")
	}
	if err := limpethttp.CheckStatus(int(a.Status)); err != nil {
		return nil, limpeterror.Unknown.Wrap(err, "the VM that has the call")
	}
	reply := &limpetupstream.Reply{
		Status: int(a.Status), Header: headerOf(a.Headers), Body: a.Body, Version: int(a.Version), NotRun: a.NotRun,
		Misdirected: a.Misdirected, Signature: a.Signature, Limit: a.Limit, Leaving: a.Leaving, Close: p.close,
	}
	if a.HasLoad {
		reply.Load = &limpetupstream.Load{Running: int(a.Running), Waiting: int(a.Waiting), Slots: int(a.Slots)}
	}
	if a.Streams {
		reply.Events = p.event
	}
	return reply, nil
}

// event returns the next event, or io.EOF after the last one of a complete stream.
func (p *passedCall) event() (limpetupstream.Event, error) {
	m, err := p.next()
	if err != nil {
		return limpetupstream.Event{}, err
	}
	if e := m.GetEvent(); e != nil {
		return limpetupstream.Event{ID: int(e.Id), Data: e.Data, Version: int(e.Version), Raw: e.Raw}, nil
	}
	end := m.GetEnd()
	if end != nil && end.Ending == "" {
		return limpetupstream.Event{}, io.EOF
	}
	return limpetupstream.Event{}, endError(end)
}

// CheckServer checks a backend server from the VM. The error says that it did not.
func (c *Client) CheckServer(ctx context.Context, s *limpetsite.Server, healthPath string) (limpetupstream.Condition, error) {
	r, err := c.relay.Check(ctx, connect.NewRequest(&limpetwire.CheckRequest{Server: passedServer(s), HealthPath: healthPath}))
	if err != nil {
		return limpetupstream.Undetermined, err
	}
	if !r.Msg.Checked {
		return limpetupstream.Undetermined, limpeterror.Overloaded.New("the VM reaches no backend server either")
	}
	return limpetupstream.Condition(r.Msg.Condition), nil
}

// Pass implements limpetwire.RelayHandler.
func (s server) Pass(ctx context.Context, r *connect.Request[limpetwire.PassRequest], stream *connect.ServerStream[limpetwire.PassReply]) error {
	if !s.handlers.IsOwn(r.Msg.Secret) {
		return connect.NewError(connect.CodePermissionDenied, errors.New("the call is not from a VM of the system"))
	}
	taken := func() error {
		return stream.Send(&limpetwire.PassReply{Part: &limpetwire.PassReply_Taken{Taken: true}})
	}
	limpethttp.Decoded(ctx)
	reply, err := s.handlers.CarryCall(ctx, callOf(r.Msg), taken)
	if err != nil {
		return sendEnd(stream, err)
	}
	defer reply.Close()
	if err := checkTexts(reply.Header, reply.Signature); err != nil {
		return sendEnd(stream, err)
	}
	if err := stream.Send(answerMessage(reply)); err != nil || reply.Events == nil {
		return err
	}
	for {
		e, err := reply.Events()
		if err != nil {
			return sendEnd(stream, err)
		}
		part := &limpetwire.PassReply_Event{Event: &limpetwire.PassedEvent{Id: int64(e.ID), Data: e.Data, Version: int64(e.Version), Raw: e.Raw}}
		if err := stream.Send(&limpetwire.PassReply{Part: part}); err != nil {
			return err
		}
	}
}

// sendEnd sends how an attempt, or the events of its answer, ended.
func sendEnd(stream *connect.ServerStream[limpetwire.PassReply], err error) error {
	end := &limpetwire.PassedEnd{}
	if !errors.Is(err, io.EOF) {
		end = &limpetwire.PassedEnd{Ending: limpetupstream.EndingOf(err), Text: causeText(err.Error()), NotTaken: limpeterror.Is(err, limpeterror.Overloaded)}
	}
	return stream.Send(&limpetwire.PassReply{Part: &limpetwire.PassReply_End{End: end}})
}

// Check implements limpetwire.RelayHandler.
func (s server) Check(ctx context.Context, r *connect.Request[limpetwire.CheckRequest]) (*connect.Response[limpetwire.CheckReply], error) {
	condition, err := s.handlers.CheckServer(ctx, serverOf(r.Msg.Server), r.Msg.HealthPath)
	return connect.NewResponse(&limpetwire.CheckReply{Checked: err == nil, Condition: int64(condition)}), nil
}

func passedServer(s *limpetsite.Server) *limpetwire.PassedServer {
	return &limpetwire.PassedServer{Id: s.ID, Address: s.Address, Service: s.Service, Software: string(s.Software), Incarnation: s.Incarnation, Zone: s.Zone}
}

func serverOf(m *limpetwire.PassedServer) *limpetsite.Server {
	return &limpetsite.Server{ID: m.GetId(), Address: m.GetAddress(), Service: m.GetService(), Software: limpetsite.Software(m.GetSoftware()), Incarnation: m.GetIncarnation(), Zone: m.GetZone()}
}

func passRequest(secret []byte, c limpetupstream.Call) *limpetwire.PassRequest {
	return &limpetwire.PassRequest{
		Secret: secret, Server: passedServer(c.Server), Id: c.ID, Method: c.Method, Target: c.Target, Host: c.Host, Headers: headerMessages(c.Header), Body: c.Body,
		Account: c.Account, RemainingMs: c.Remaining.Milliseconds(), LastEventId: int64(c.LastEventID), Version: int64(c.Version), Priority: int64(c.Priority), Once: c.Once,
	}
}

func callOf(m *limpetwire.PassRequest) limpetupstream.Call {
	return limpetupstream.Call{
		Server: serverOf(m.Server), ID: m.Id, Method: m.Method, Target: m.Target, Host: m.Host, Header: headerOf(m.Headers), Body: m.Body,
		Account: m.Account, Remaining: time.Duration(m.RemainingMs) * time.Millisecond, LastEventID: int(m.LastEventId), Version: int(m.Version),
		Priority: int(m.Priority), Once: m.Once,
	}
}

func answerMessage(r *limpetupstream.Reply) *limpetwire.PassReply {
	a := &limpetwire.PassedAnswer{
		Status: int64(r.Status), Headers: headerMessages(r.Header), Body: r.Body, Streams: r.Events != nil, Version: int64(r.Version),
		NotRun: r.NotRun, Misdirected: r.Misdirected, Signature: r.Signature, Limit: r.Limit, Leaving: r.Leaving,
	}
	if r.Load != nil {
		a.HasLoad, a.Running, a.Waiting, a.Slots = true, int64(r.Load.Running), int64(r.Load.Waiting), int64(r.Load.Slots)
	}
	return &limpetwire.PassReply{Part: &limpetwire.PassReply_Answer{Answer: a}}
}

func headerMessages(h http.Header) []*limpetwire.PassedHeader {
	out := make([]*limpetwire.PassedHeader, 0, len(h))
	for name, values := range h {
		out = append(out, &limpetwire.PassedHeader{Name: name, Values: values})
	}
	return out
}

func headerOf(headers []*limpetwire.PassedHeader) http.Header {
	h := make(http.Header, len(headers))
	for _, m := range headers {
		h[m.Name] = m.Values
	}
	return h
}
