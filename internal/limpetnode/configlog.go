package limpetnode

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"connectrpc.com/connect"

	"limpetmount.org/internal/limpetconfig"
	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetwire"
)

const (
	watchTimeout = time.Second
	retryDelay   = 200 * time.Millisecond
	// watchersPerZone is the number of VMs in each zone that always watch the
	// configuration log.
	watchersPerZone = 2
	// watchFallbackAge is the time since the last confirmation of its
	// configuration after which any other VM also watches the log.
	watchFallbackAge = 2 * time.Second
)

// followLog keeps the configuration up to date. The first few VMs of each zone
// watch the configuration log. The others learn of changes from peers, and watch
// the log only while they cannot confirm their configuration through a peer.
func (n *Node) followLog(ctx context.Context) {
	revision := uint64(0)
	doc := limpetconfig.NewDocument()
	for ctx.Err() == nil {
		if !n.shouldWatch() {
			limpettask.Sleep(ctx, limpettask.Jitter(watchTimeout))
			continue
		}
		sent := time.Now()
		values, err := n.config.Watch(ctx, revision, watchTimeout)
		if err != nil {
			if limpeterror.Is(err, limpeterror.Conflict) {
				// The store has compacted the events after this revision.
				revision = 0
			}
			limpettask.Sleep(ctx, limpettask.Jitter(retryDelay))
			continue
		}
		n.withControl(func(c *control) { doc = c.doc })
		next, entries := doc, []limpetconfig.Entry(nil)
		for _, v := range values {
			if v.Revision <= revision {
				continue
			}
			revision = v.Revision
			if next, entries, err = n.config.ApplySegment(ctx, next, v.Data); err != nil {
				n.log.Emit(limpetlog.ConfigRejected, limpetlog.Error(err))
			}
		}
		if err != nil {
			// Read the log again from its oldest entry.
			revision = 0
			limpettask.Sleep(ctx, limpettask.Jitter(retryDelay))
			continue
		}
		n.send(configEvent{doc: next, entries: entries, confirmedAt: sent})
	}
}

// shouldWatch reports whether this VM watches the configuration log: it is one of
// the first of its zone, has no configuration yet, or has not confirmed its
// configuration for watchFallbackAge.
func (n *Node) shouldWatch() bool {
	v := n.View()
	rank := 0
	for _, m := range v.Members {
		if m.Zone == n.self.Zone && m.Name < n.self.Name {
			rank++
		}
	}
	if rank < watchersPerZone || !v.ConfigLoaded {
		return true
	}
	stale := false
	n.withControl(func(c *control) { stale = time.Since(c.confirmedAt) > watchFallbackAge })
	return stale
}

// pullConfig updates the configuration from a peer that has a newer one.
func (n *Node) pullConfig(ctx context.Context, peer string) {
	doc := n.View().Config
	reply, err := n.client.Peer(peer).PullConfig(ctx, connect.NewRequest(&limpetwire.PullConfigRequest{After: doc.Index}))
	if err != nil {
		n.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("peer", peer), limpetlog.Error(err))
		return
	}
	next := doc
	if data := reply.Msg.GetSnapshot(); len(data) > 0 {
		if next, err = limpetconfig.DecodeDocument(data); err != nil || next.Index <= doc.Index {
			return
		}
	}
	var entries []limpetconfig.Entry
	for _, data := range reply.Msg.GetEntries() {
		var e limpetconfig.Entry
		if err = json.Unmarshal(data, &e); err == nil {
			next, err = limpetconfig.Apply(next, e)
		}
		if err != nil {
			n.log.Emit(limpetlog.ConfigRejected, limpetlog.Value("peer", peer), limpetlog.Error(err))
			return
		}
		entries = append(entries, e)
	}
	n.send(configEvent{doc: next, entries: entries})
}

// appendChanges appends a batch to the configuration log and applies the result
// on this VM. Its errors are those of limpetconfig.Log.Append.
func (n *Node) appendChanges(ctx context.Context, operation, author string, changes []limpetconfig.Change) (*limpetconfig.Document, error) {
	sent := time.Now()
	doc, entries, err := n.config.Append(ctx, n.View().Config, operation, author, changes)
	if err != nil {
		return nil, err
	}
	n.send(configEvent{doc: doc, entries: entries, confirmedAt: sent})
	return doc, nil
}

// snapshotFile is the file in the data directory from which a VM loads its
// configuration at the start, so that it can start while the store is down and
// no peer answers. Keys are not accepted until that configuration is confirmed.
const snapshotFile = "config.json"

const snapshotFileMode = 0o600

// loadSnapshot loads the snapshot file. A missing or invalid file is ignored: the
// configuration then comes from the store or a peer.
func (c *control) loadSnapshot() {
	dir := c.node.settings.VM.DataDir
	if dir == "" {
		return
	}
	data, err := os.ReadFile(filepath.Join(dir, snapshotFile))
	if err != nil {
		return
	}
	if d, err := limpetconfig.DecodeDocument(data); err == nil {
		c.doc, c.loaded = d, true
	}
}

// saveSnapshot replaces the snapshot file atomically, so that a crash leaves the
// previous one in place.
func (c *control) saveSnapshot() {
	dir := c.node.settings.VM.DataDir
	if dir == "" {
		return
	}
	data, err := json.Marshal(c.doc)
	if err == nil {
		tempFile := filepath.Join(dir, snapshotFile+".new")
		if err = os.WriteFile(tempFile, data, snapshotFileMode); err == nil {
			err = os.Rename(tempFile, filepath.Join(dir, snapshotFile))
		}
	}
	if err != nil {
		c.node.log.Emit(limpetlog.PeerCallFailed, limpetlog.Value("folder", dir), limpetlog.Error(err))
		return
	}
	c.node.log.Emit(limpetlog.SnapshotWritten, limpetlog.Value("index", c.doc.Index))
}
