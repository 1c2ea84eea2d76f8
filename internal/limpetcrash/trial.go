package limpetcrash

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetquarantine"
	"limpetmount.org/internal/limpetstore"
)

// claimTimeout bounds the claim of a trial, which the request waits for.
const claimTimeout = 400 * time.Millisecond

// ClaimTrial claims the next trial of a quarantined request for this VM, in the
// store, so that no other VM sends the request for it. It reports whether the
// request may be sent to one server. A claim whose outcome is unknown counts as
// lost.
func (b *Book) ClaimTrial(ctx context.Context, fingerprint uint64, account, request string) bool {
	c, quarantined := b.view.Load().Quarantined[fingerprint]
	if !quarantined || b.Now().Before(c.NextTrial()) {
		// The view has changed since the verdict.
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	r := Record{
		Crash: limpetquarantine.Crash{Fingerprint: fingerprint, Account: account, Server: trialServer(c.Trials + 1)}, Trial: c.Trials + 1,
		At: b.Now(), VM: b.VM, Request: request,
	}
	key := Key(fingerprint, r.Server)
	revision, err := b.Store.Commit(ctx, limpetstore.Transaction{
		Checks: []limpetstore.Check{{Key: key}}, Writes: []limpetstore.Write{{Key: key, Data: r.encode()}},
	})
	fields := []limpetlog.Field{
		limpetlog.Request(request), limpetlog.Account(account),
		limpetlog.Value("fingerprint", limpetquarantine.Name(fingerprint)), limpetlog.Value("trial", r.Trial),
	}
	if err != nil {
		b.Log.Emit(limpetlog.TrialNotClaimed, append(fields, limpetlog.Error(err))...)
		return false
	}
	b.Log.Emit(limpetlog.TrialStarted, fields...)
	b.send(ctx, recordsRead{values: []limpetstore.Value{{Key: key, Data: r.encode(), Revision: revision}}})
	return true
}
