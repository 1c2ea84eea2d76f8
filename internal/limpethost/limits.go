package limpethost

import (
	"context"

	"limpetmount.org/internal/limpetupstream"
)

// observeLimits returns a client that records the request rates that servers name
// in their answers, whichever part of the system sent the request.
func (h *Host) observeLimits(client limpetupstream.Client) limpetupstream.Client {
	send := client.Send
	if send == nil {
		return client
	}
	client.Send = func(ctx context.Context, c limpetupstream.Call) (*limpetupstream.Reply, error) {
		reply, err := send(ctx, c)
		if err == nil && (reply.Limit > 0 || reply.ProvesRun()) {
			h.limits.Observe(c.Server, reply.Limit)
		}
		return reply, err
	}
	return client
}
