package limpethost

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetrelay"
	"limpetmount.org/internal/limpetsilence"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetupstream"
)

// silencePrefix is the prefix of silent servers in the mirror. They are not in the
// store.
const silencePrefix = "silence/"

// startSilence prepares what knows the servers that take no connections.
func (h *Host) startSilence() {
	if h.deps.Upstream.Check == nil {
		return
	}
	h.silence = limpetsilence.New(h.group, limpetsilence.Deps{
		View: h.View, Check: h.checkFromTwo, Tell: h.tellSilence,
		IsDirector: func() bool { return h.director.IsDirector() }, Publish: h.publishSilence,
		Log: h.Log, Metrics: h.Metrics.Registry, Now: h.deps.Now,
	})
}

const (
	// connectTimeout bounds a check of a server that does not answer. One that runs takes a
	// connection at once, however many requests it has.
	connectTimeout = 250 * time.Millisecond
	// elsewhereMargin is for the call to the other VM that checks it, too.
	elsewhereMargin = 100 * time.Millisecond
)

// checkFromTwo checks a server from this VM and, at the same time, from another one. A
// server that this VM may not check, or cannot while it is cut off, is Unreachable to it,
// which alone is no finding and ends none.
func (h *Host) checkFromTwo(ctx context.Context, s *limpetsite.Server, healthPath string) limpetupstream.Condition {
	if h.evacuated(s) || h.gate.Limited(s.ID) || h.detour.CutOff() {
		return limpetupstream.Unreachable
	}
	elsewhere := make(chan limpetupstream.Condition, 1)
	h.group.Go(func(context.Context) error {
		elsewhere <- h.checkElsewhere(ctx, s, healthPath)
		return nil
	})
	own, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	condition := h.detour.Direct.Check(own, s, healthPath)
	if condition != limpetupstream.Unreachable {
		return condition
	}
	select {
	case other := <-elsewhere:
		if other == limpetupstream.Unreachable || other == limpetupstream.Ended {
			return limpetupstream.UnreachableElsewhere
		}
	case <-ctx.Done():
	}
	return condition
}

// checkElsewhere checks a server from another VM that serves callers.
func (h *Host) checkElsewhere(ctx context.Context, s *limpetsite.Server, healthPath string) limpetupstream.Condition {
	others := h.otherVMs()
	if len(others) == 0 {
		return limpetupstream.Undetermined
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout+elsewhereMargin)
	defer cancel()
	condition, err := h.checkFrom(ctx, others[limpettask.RandomInt(len(others))], s, healthPath)
	if err != nil {
		// That VM does not answer, or reaches no server either, which says nothing.
		return limpetupstream.Undetermined
	}
	return condition
}

// tellSilence tells the director of a server that takes no connections.
func (h *Host) tellSilence(ctx context.Context, f limpetsilence.Finding) error {
	client := h.relay.Load()
	if client == nil {
		return limpeterror.Unavailable.New("there is no director")
	}
	return client.Silence(ctx, f)
}

// acceptSilence accepts what another VM found. VMs that are not the director ignore it.
func (h *Host) acceptSilence(f limpetsilence.Finding) {
	if h.silence != nil && h.director.IsDirector() {
		h.silence.Accept(f)
	}
}

type silenceDocument struct {
	Incarnation int64 `json:"incarnation"`
}

// publishSilence passes a finding on to the VMs that follow this one.
func (h *Host) publishSilence(f limpetsilence.Finding, over bool) {
	v := limpetrelay.Value{Value: limpetstore.Value{Key: silencePrefix + f.Server, Revision: h.silenceRevision.Add(1), Deleted: over}}
	if !over {
		// Encoding cannot fail for this type.
		v.Data, _ = json.Marshal(silenceDocument{Incarnation: f.Incarnation})
	}
	h.mirror.Apply(limpetrelay.Changes(silencePrefix, []limpetrelay.Value{v}))
}

// newSilenceFeed returns the feed of silent servers, which VMs get from the director
// only.
func (h *Host) newSilenceFeed() feed {
	decode := func(v limpetstore.Value) (f limpetsilence.Finding, ok bool) {
		f.Server = strings.TrimPrefix(v.Key, silencePrefix)
		var d silenceDocument
		if err := json.Unmarshal(v.Data, &d); err != nil {
			h.Log.Emit(limpetlog.ValueIgnored, limpetlog.Value("key", v.Key), limpetlog.Error(err))
			return f, false
		}
		f.Incarnation = d.Incarnation
		return f, true
	}
	return feed{
		prefix: silencePrefix, relayedOnly: true,
		applyListing: func(l limpetstore.Listing) []limpetsite.Record {
			var findings []limpetsilence.Finding
			for _, v := range l.Values {
				if f, ok := decode(v); ok {
					findings = append(findings, f)
				}
			}
			h.silence.ApplyAll(findings)
			return nil
		},
		applyChanges: func(values []limpetstore.Value) []limpetsite.Record {
			for _, v := range values {
				if v.Deleted {
					h.silence.EndServer(strings.TrimPrefix(v.Key, silencePrefix))
				} else if f, ok := decode(v); ok {
					h.silence.Apply(f)
				}
			}
			return nil
		},
	}
}
