package limpethost

import (
	"context"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetupstream"
)

// confirmTimeout bounds the question to a server for its start, before a text goes on
// there.
const confirmTimeout = 200 * time.Millisecond

// confirmStarts returns a client that sends the rest of a text or stream only to the
// start of a server that the caller means. A server may have started again under its ID
// with other software, which this VM learns seconds later, or not at all while it is
// cut off; it would go on with a text of another version.
func (h *Host) confirmStarts(client limpetupstream.Client) limpetupstream.Client {
	send, report := client.Send, client.Report
	if send == nil || report == nil {
		return client
	}
	refused := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "limpet_continuations_not_sent_total", Help: "Rests of texts and streams that were not sent to a server, because it had started again (restarted) or did not say (silent).",
	}, []string{"cause"})
	h.Metrics.Registry.MustRegister(refused)
	client.Send = func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		if c.LastEventID == 0 || c.Server.Incarnation == 0 {
			return send(ctx, c)
		}
		asked, cancel := context.WithTimeout(ctx, confirmTimeout)
		r, err := report(asked, c.Server)
		cancel()
		switch {
		case err != nil:
			refused.WithLabelValues("silent").Inc()
			return nil, limpeterror.Unavailable.Wrap(err, "the server's start is not confirmed")
		case r.Incarnation != 0 && r.Incarnation != c.Server.Incarnation:
			refused.WithLabelValues("restarted").Inc()
			h.Log.Emit(limpetlog.ContinuationNotSent, limpetlog.Request(c.ID), limpetlog.Server(c.Server.ID), limpetlog.Value("after", c.LastEventID),
				limpetlog.Value("software", c.Server.Software), limpetlog.Value("known", c.Server.Incarnation), limpetlog.Value("incarnation", r.Incarnation))
			return &limpetupstream.Reply{Status: http.StatusMisdirectedRequest, NotRun: true, Misdirected: true, Header: http.Header{}, Close: func() {}}, nil
		}
		return send(ctx, c)
	}
	return client
}
