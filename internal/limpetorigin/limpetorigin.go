// Package limpetorigin remembers which software began each stream, so that any VM
// can let it go on at servers of the same software when its caller comes back. The
// VM that serves the first event records it, the director collects the records of
// all VMs in memory and in the store. Nothing is ever guessed: a stream without a
// record is unknown.
package limpetorigin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpetsite"
	"limpetmount.org/internal/limpetstore"
)

// A Stream identifies a stream by its account and by the ID of the attempt that
// brought its first event.
type Stream uint64

// StreamOf returns the identity of a stream.
func StreamOf(account, attempt string) Stream {
	return Stream(xxhash.Sum64String(account + "\x00" + attempt))
}

// A Record says which software began a stream.
type Record struct {
	Stream   Stream
	Software limpetsite.Software
}

// A Found is what another VM knows of a stream. Sure is set if that VM knows all
// streams, so that one without software is unknown to all.
type Found struct {
	Software limpetsite.Software
	Sure     bool
}

// Deps holds what a book needs.
type Deps struct {
	VM, Incarnation string
	Store           limpetstore.Store
	// Send hands records to the director. The error says that it may not have got
	// them.
	Send func(ctx context.Context, records []Record) error
	// Ask asks other VMs for a stream.
	Ask func(ctx context.Context, s Stream) Found
	// Directing reports whether this VM is the director.
	Directing func() bool
	// VMs returns the number of VMs, which determines how often records are sent.
	VMs     func() int
	Log     *limpetlog.Logger
	Metrics prometheus.Registerer
	Now     func() time.Time
}

const (
	// Retention is the least time for which a record is kept after it was made or
	// made again.
	Retention = time.Minute
	// RefreshInterval is the time after which a stream that lasts is recorded again.
	RefreshInterval = 20 * time.Second
	// maxRecords bounds a generation of records, of which there are two, at about 36
	// bytes each. 17,000 new streams a second fill one in 47 s; records then last
	// that long at least.
	maxRecords = 800_000
	// maxUnsent bounds the records that wait for a director or the store.
	maxUnsent = 1 << 16
)

// A generation holds the records that were made in one span of Retention.
type generation map[Stream]uint16

// A Book holds the records of one VM, and on the director those of all. It is safe
// for concurrent use.
type Book struct {
	Deps
	dropped prometheus.Counter

	mu sync.Mutex
	// current and previous are replaced every Retention.
	current, previous generation
	rotatedAt         time.Time
	// software holds the names that the records refer to, and numbers their places
	// in it.
	software []limpetsite.Software
	numbers  map[limpetsite.Software]uint16
	// own holds the streams that this VM recorded itself, which a new director is
	// sent again.
	own, previousOwn map[Stream]bool
	// unsent holds records for the director, and unstored those that it has not
	// written yet.
	unsent, unstored []Record
	wake             chan struct{}
	keeper           keeper
}

// New returns an empty book. Run must be called for it to share its records.
func New(d Deps) *Book {
	b := &Book{
		Deps: d, current: generation{}, previous: generation{}, rotatedAt: d.Now(), numbers: map[limpetsite.Software]uint16{},
		own: map[Stream]bool{}, previousOwn: map[Stream]bool{}, wake: make(chan struct{}, 1),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "limpet_origins_dropped_total", Help: "Records of which software began a stream that were dropped because there were too many. Such streams cannot be taken up again.",
		}),
	}
	d.Metrics.MustRegister(b.dropped)
	return b
}

// Record records that a server's software sent the first event of a stream, or that
// the stream still lasts. It does not block.
func (b *Book) Record(s Stream, software limpetsite.Software) {
	if b == nil || software == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Record{Stream: s, Software: software}
	b.put(r)
	b.own[s] = true
	b.queue(&b.unsent, r)
}

// Accept takes over the records of another VM. It reports whether this VM is the
// director.
func (b *Book) Accept(records []Record) bool {
	if !b.Directing() {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range records {
		b.put(r)
		b.queue(&b.unstored, r)
	}
	return true
}

// put stores a record. The caller holds the lock.
func (b *Book) put(r Record) {
	if now := b.Now(); now.Sub(b.rotatedAt) > Retention || len(b.current) >= maxRecords {
		if now.Sub(b.rotatedAt) <= Retention {
			b.dropped.Add(float64(len(b.previous)))
		}
		b.previous, b.current = b.current, generation{}
		b.previousOwn, b.own = b.own, map[Stream]bool{}
		b.rotatedAt = now
	}
	number, known := b.numbers[r.Software]
	if !known {
		if len(b.software) > int(^uint16(0)) {
			b.dropped.Inc()
			return
		}
		number = uint16(len(b.software))
		b.software, b.numbers[r.Software] = append(b.software, r.Software), number
	}
	b.current[r.Stream] = number
}

// queue adds a record to those that wait. The caller holds the lock.
func (b *Book) queue(waiting *[]Record, r Record) {
	if len(*waiting) >= maxUnsent {
		b.dropped.Inc()
		return
	}
	*waiting = append(*waiting, r)
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Resend sends the records of this VM again, because there is a new director.
func (b *Book) Resend() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, streams := range []map[Stream]bool{b.previousOwn, b.own} {
		for s := range streams {
			if software, known := b.lookup(s); known {
				b.queue(&b.unsent, Record{Stream: s, Software: software})
			}
		}
	}
}

// lookup returns what this VM knows of a stream. The caller holds the lock.
func (b *Book) lookup(s Stream) (limpetsite.Software, bool) {
	number, known := b.current[s]
	if !known {
		number, known = b.previous[s]
	}
	if !known {
		return "", false
	}
	return b.software[number], true
}

// Lookup returns what this VM itself knows of a stream. It is sure of what it does
// not know only as the director, once it has read the store.
func (b *Book) Lookup(s Stream) Found {
	directing := b.Directing()
	b.mu.Lock()
	defer b.mu.Unlock()
	software, known := b.lookup(s)
	return Found{Software: software, Sure: known || (directing && b.keeper.loaded)}
}

// The places where Find found a stream.
const (
	fromThisVM = "this_vm"
	fromVMs    = "other_vm"
	fromStore  = "store"
)

// Find returns the software that began a stream, and where that was known. It is
// empty if the stream is unknown.
func (b *Book) Find(ctx context.Context, s Stream) (software limpetsite.Software, source string) {
	if b == nil {
		return "", ""
	}
	found, source := b.Lookup(s), fromThisVM
	if !found.Sure && !b.Directing() {
		found, source = b.Ask(ctx, s), fromVMs
	}
	if !found.Sure {
		found, source = b.readStore(ctx, s), fromStore
	}
	if found.Software != "" {
		// The caller may come back again, and the record must last as long.
		b.Record(s, found.Software)
	}
	return found.Software, source
}
