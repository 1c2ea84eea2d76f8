package limpetorigin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetstore"
	"limpetmount.org/internal/limpettask"
)

// Prefix is the prefix of the store's keys of records. A key holds the shard of its
// streams, the time of its write and the VM that wrote it.
const Prefix = "stream/"

const (
	// shards is the number of parts in which the store keeps the records, so that a
	// VM reads only some of them for one stream.
	shards = 16
	// minSendDelay is how long records wait for others; sendDelayPerVM bounds the
	// calls that the director gets from many VMs.
	minSendDelay   = 100 * time.Millisecond
	sendDelayPerVM = 2500 * time.Microsecond
	// minWriteInterval is the time between two writes of the director.
	minWriteInterval = 250 * time.Millisecond
	retryInterval    = 400 * time.Millisecond
	callTimeout      = 1200 * time.Millisecond
	// maxBatch is the number of records in one call or write, which stays well
	// below the size of a value.
	maxBatch = 20_000
	// storedRetention is how long the store keeps a write.
	storedRetention = Retention + RefreshInterval
	// readTimeout bounds the read of one shard.
	readTimeout = 500 * time.Millisecond
)

// A keeper holds what a director knows of the records in the store.
type keeper struct {
	// loaded is set once this director has read the records of the earlier ones.
	loaded bool
	// written holds the keys in the store, oldest first.
	written []writtenKey
	writes  int
}

type writtenKey struct {
	key string
	at  time.Time
}

// Run shares the records until ctx ends.
func (b *Book) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !b.Directing() {
			b.resign()
			b.sendAll(ctx)
			continue
		}
		if !b.keeper.loaded && !b.load(ctx) {
			limpettask.Sleep(ctx, limpettask.Jitter(retryInterval))
			continue
		}
		b.storeAll(ctx)
	}
	return nil
}

// resign forgets what only a director needs. Records that it did not write go to
// the next one.
func (b *Book) resign() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsent = append(b.unsent, b.unstored...)
	b.unstored, b.keeper = nil, keeper{}
}

// wait returns when records wait, after a delay in which more may come, or after a
// second.
func (b *Book) wait(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(time.Second)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-b.wake:
		limpettask.Sleep(ctx, delay)
	}
}

// take removes up to maxBatch records from those that wait.
func (b *Book) take(waiting *[]Record) []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(*waiting), maxBatch)
	batch := (*waiting)[:n:n]
	*waiting = (*waiting)[n:]
	return batch
}

// putBack returns records to the front of those that wait.
func (b *Book) putBack(waiting *[]Record, batch []Record) {
	if len(batch) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	*waiting = append(batch, *waiting...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// sendAll sends the records that wait to the director.
func (b *Book) sendAll(ctx context.Context) {
	b.wait(ctx, max(minSendDelay, time.Duration(b.VMs())*sendDelayPerVM))
	batch := b.take(&b.unsent)
	if len(batch) == 0 || b.Directing() {
		b.putBack(&b.unsent, batch)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := b.Send(callCtx, batch); err != nil {
		b.putBack(&b.unsent, batch)
		limpettask.Sleep(ctx, limpettask.Jitter(retryInterval))
	}
}

// storeAll writes the records that wait, and removes old ones.
func (b *Book) storeAll(ctx context.Context) {
	b.wait(ctx, minWriteInterval)
	batch := append(b.take(&b.unsent), b.take(&b.unstored)...)
	now := b.Now()
	t := b.transaction(batch, now)
	b.removeOld(&t, now)
	if len(t.Writes)+len(t.Deletes) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := b.Store.Commit(callCtx, t); err != nil {
		// Records are facts, so that writing them again under other keys is safe.
		b.Log.Emit(limpetlog.OriginsNotStored, limpetlog.Value("records", len(batch)), limpetlog.Error(err))
		b.putBack(&b.unstored, batch)
		limpettask.Sleep(ctx, limpettask.Jitter(retryInterval))
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range t.Writes {
		b.keeper.written = append(b.keeper.written, writtenKey{key: w.Key, at: now})
	}
	b.keeper.written = b.keeper.written[len(t.Deletes):]
}

// transaction returns the writes of records, one for each shard.
func (b *Book) transaction(batch []Record, now time.Time) limpetstore.Transaction {
	var values [shards][]Record
	for _, r := range batch {
		n := shardOf(r.Stream)
		values[n] = append(values[n], r)
	}
	var t limpetstore.Transaction
	for n, records := range values {
		if records == nil {
			continue
		}
		b.keeper.writes++
		key := fmt.Sprintf("%s%013d-%s-%d", shardPrefix(n), now.UnixMilli(), b.VM+"."+b.Incarnation, b.keeper.writes)
		t.Writes = append(t.Writes, limpetstore.Write{Key: key, Data: encode(records)})
	}
	return t
}

// removeOld adds the removal of old writes to a transaction.
func (b *Book) removeOld(t *limpetstore.Transaction, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.keeper.written {
		if now.Sub(w.at) < storedRetention || len(t.Writes)+len(t.Deletes) >= limpetstore.MaxTransactionEntries {
			return
		}
		t.Deletes = append(t.Deletes, w.key)
	}
}

func shardOf(s Stream) int { return int(s % shards) }

func shardPrefix(n int) string { return Prefix + strconv.FormatInt(int64(n), shards) + "/" }

// load reads the records that earlier directors wrote.
func (b *Book) load(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := b.Store.Scan(callCtx, Prefix, "")
	if err != nil {
		b.Log.Emit(limpetlog.OriginsNotRead, limpetlog.Error(err))
		return false
	}
	now := b.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	// What VMs have said meanwhile is newer than the store, and the writes of a shard
	// are listed oldest first.
	for _, v := range slices.Backward(l.Values) {
		for _, r := range b.decode(v) {
			if _, known := b.lookup(r.Stream); !known {
				b.put(r)
			}
		}
	}
	for _, v := range l.Values {
		b.keeper.written = append(b.keeper.written, writtenKey{key: v.Key, at: writtenAt(v.Key, now)})
	}
	b.keeper.loaded = true
	return true
}

// writtenAt returns the time in a key; now if it has none.
func writtenAt(key string, now time.Time) time.Time {
	name := key[strings.LastIndexByte(key, '/')+1:]
	text, _, _ := strings.Cut(name, "-")
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return now
	}
	return time.UnixMilli(ms)
}

// readStore looks for a stream in the store.
func (b *Book) readStore(ctx context.Context, s Stream) Found {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	l, err := b.Store.Scan(ctx, shardPrefix(shardOf(s)), "")
	if err != nil {
		if !limpeterror.Is(err, limpeterror.Unavailable) || ctx.Err() == nil {
			b.Log.Emit(limpetlog.OriginsNotRead, limpetlog.Error(err))
		}
		return Found{}
	}
	found := Found{Sure: true}
	for _, v := range l.Values {
		for _, r := range b.decode(v) {
			if r.Stream == s {
				// A later write may have settled the record.
				found.Software, found.Sender = r.Software, r.Sender
			}
		}
	}
	return found
}
