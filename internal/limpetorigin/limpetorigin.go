// Package limpetorigin remembers which software began each stream, so that any VM
// can let it go on at servers of the same software when its caller comes back. The
// VM that serves the first event records it, the director collects the records of
// all VMs in memory and in the store. Nothing is ever guessed: a stream without a
// record is unknown, and so is one whose server may have started again with other
// software before its first event.
package limpetorigin

import (
	"context"
	"math"
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

// A Sender is the start of a server that was chosen to begin a stream, as it was
// registered then, and the time at which the answer began. The server may have
// started again in between. The zero Sender means that there is no such doubt.
type Sender struct {
	Server      string
	Incarnation int64
	Began       time.Time
}

// A Record says which software began a stream.
type Record struct {
	Stream   Stream
	Software limpetsite.Software
	Sender   Sender
}

// A Found is what another VM knows of a stream. Sure is set if that VM knows all
// streams, so that one without software is unknown to all.
type Found struct {
	Software limpetsite.Software
	Sender   Sender
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
	// View returns the deployment, which tells whether servers started again.
	View func() *limpetsite.Snapshot
	// Confirmed returns up to when View is known to hold what the store held; nil means
	// that it always does.
	Confirmed func() time.Time
	// IncarnationOf asks a server for the start of its process; nil if servers cannot
	// be asked.
	IncarnationOf func(ctx context.Context, s *limpetsite.Server) (int64, error)
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
	// SettleTime is how long after the first event of a stream all VMs know of an
	// earlier start of its server: servers register every 1.2 s, VMs learn of it within
	// as much.
	SettleTime = 3 * time.Second
	// maxRecords bounds a generation of records, of which there are two, at about 36
	// bytes each. 17,000 new streams a second fill one in 47 s; records then last
	// that long at least.
	maxRecords = 800_000
	// maxUnsent bounds the records that wait for a director or the store.
	maxUnsent = 1 << 16
)

// A generation holds the records that were made in one span of Retention.
type generation struct {
	since   time.Time
	entries map[Stream]entry
	// sources holds what many records have in common, and numbers the places there.
	sources []source
	numbers map[source]uint16
	// own holds the streams that this VM recorded itself, which a new director is sent
	// again.
	own map[Stream]bool
}

// An entry is a record in few bytes: the place of its source, and when its answer
// began, in milliseconds from the start of the generation.
type entry struct {
	source uint16
	began  int32
}

// A source is the software of records and the start of a server that was chosen.
type source struct {
	software    limpetsite.Software
	server      string
	incarnation int64
}

func newGeneration(now time.Time) *generation {
	return &generation{since: now, entries: map[Stream]entry{}, numbers: map[source]uint16{}, own: map[Stream]bool{}}
}

// put stores a record. It returns false if there are too many sources.
func (g *generation) put(r Record) bool {
	key := source{software: r.Software, server: r.Sender.Server, incarnation: r.Sender.Incarnation}
	number, known := g.numbers[key]
	if !known {
		if len(g.sources) > math.MaxUint16 {
			return false
		}
		number = uint16(len(g.sources))
		g.sources, g.numbers[key] = append(g.sources, key), number
	}
	began := min(max(r.Sender.Began.Sub(g.since).Milliseconds(), math.MinInt32), math.MaxInt32)
	g.entries[r.Stream] = entry{source: number, began: int32(began)}
	return true
}

// get returns the record of a stream.
func (g *generation) get(s Stream) (Record, bool) {
	e, known := g.entries[s]
	if !known {
		return Record{}, false
	}
	from := g.sources[e.source]
	r := Record{Stream: s, Software: from.software}
	if from.server != "" {
		r.Sender = Sender{Server: from.server, Incarnation: from.incarnation, Began: g.since.Add(time.Duration(e.began) * time.Millisecond)}
	}
	return r, true
}

// A Book holds the records of one VM, and on the director those of all. It is safe
// for concurrent use.
type Book struct {
	Deps
	dropped prometheus.Counter

	mu sync.Mutex
	// current and previous are replaced every Retention.
	current, previous *generation
	// unsent holds records for the director, and unstored those that it has not
	// written yet.
	unsent, unstored []Record
	wake             chan struct{}
	keeper           keeper
}

// New returns an empty book. Run must be called for it to share its records.
func New(d Deps) *Book {
	b := &Book{
		Deps: d, current: newGeneration(d.Now()), previous: newGeneration(d.Now()), wake: make(chan struct{}, 1),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "limpet_origins_dropped_total", Help: "Records of which software began a stream that were dropped because there were too many. Such streams cannot be taken up again.",
		}),
	}
	d.Metrics.MustRegister(b.dropped)
	return b
}

// Record records that a server's software sent the first event of a stream, or that
// the stream still lasts. It does not block. A record in doubt is kept as it is: what
// servers say later decides it.
func (b *Book) Record(r Record) {
	if b == nil || r.Software == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.put(r)
	b.current.own[r.Stream] = true
	b.queue(&b.unsent, r)
}

// Renew records that a stream lasts which this VM recorded before. Nothing is
// recorded if it has turned out that its server had started again.
func (b *Book) Renew(s Stream) {
	if b == nil {
		return
	}
	b.mu.Lock()
	r, known := b.lookup(s)
	b.mu.Unlock()
	if !known {
		return
	}
	switch b.judge(r) {
	case certain:
		r.Sender = Sender{}
	case disproved:
		return
	}
	b.Record(r)
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
	if now := b.Now(); now.Sub(b.current.since) > Retention || len(b.current.entries) >= maxRecords {
		if now.Sub(b.current.since) <= Retention {
			b.dropped.Add(float64(len(b.previous.entries)))
		}
		b.previous, b.current = b.current, newGeneration(now)
	}
	if !b.current.put(r) {
		b.dropped.Inc()
	}
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
	for _, g := range []*generation{b.previous, b.current} {
		for s := range g.own {
			if r, known := b.lookup(s); known {
				b.queue(&b.unsent, r)
			}
		}
	}
}

// lookup returns what this VM knows of a stream. The caller holds the lock.
func (b *Book) lookup(s Stream) (Record, bool) {
	if r, known := b.current.get(s); known {
		return r, true
	}
	return b.previous.get(s)
}

// A judgement says whether a record may be believed.
type judgement int

const (
	certain judgement = iota
	// unsettled records may turn out to be wrong: the server may have started again
	// before the answer began, and not be registered anew yet.
	unsettled
	disproved
)

// judge compares a record with what is known of its server.
func (b *Book) judge(r Record) judgement {
	switch {
	case r.Sender.Server == "":
		return certain
	case b.View().StartedAgain(limpetsite.Start{Server: r.Sender.Server, Incarnation: r.Sender.Incarnation, Software: r.Software}, r.Sender.Began):
		return disproved
	case b.confirmed().Sub(r.Sender.Began) < SettleTime:
		return unsettled
	}
	return certain
}

// confirmed returns up to when the view of this VM, which may be cut off or have stood
// still, tells of starts.
func (b *Book) confirmed() time.Time {
	if b.Confirmed == nil {
		return b.Now()
	}
	return b.Confirmed()
}

// confirmTimeout bounds the question to a server for its start.
const confirmTimeout = 200 * time.Millisecond

// ask judges a record in possible doubt by what its server says of itself, which may
// be newer than its registration. A server that does not answer decides nothing.
func (b *Book) ask(ctx context.Context, r Record, j judgement) judgement {
	server := b.View().Server(r.Sender.Server)
	if j == disproved || r.Sender.Server == "" || server == nil || b.IncarnationOf == nil {
		return j
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	incarnation, err := b.IncarnationOf(ctx, server)
	switch {
	case err != nil || incarnation == 0:
		return j
	case incarnation == r.Sender.Incarnation || limpetsite.StartedAfter(incarnation, r.Sender.Began):
		return certain
	case incarnation == server.Incarnation:
		// Its software is known, and not another one.
		return certain
	}
	// It is not known yet whether the software differs.
	return unsettled
}

// Lookup returns what this VM itself knows of a stream. It is sure of what it does
// not know only as the director, once it has read the store.
func (b *Book) Lookup(s Stream) Found {
	directing := b.Directing()
	b.mu.Lock()
	r, known := b.lookup(s)
	loaded := b.keeper.loaded
	b.mu.Unlock()
	if known && b.judge(r) == disproved {
		return Found{Sure: true}
	}
	return Found{Software: r.Software, Sender: r.Sender, Sure: known || (directing && loaded)}
}

// The places where Find found a stream.
const (
	fromThisVM = "this_vm"
	fromVMs    = "other_vm"
	fromStore  = "store"
)

// Find returns the software that began a stream, and where that was known. It is
// empty if the stream is unknown, or if it is in doubt whether its server had started
// again with other software.
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
	if found.Software == "" {
		return "", source
	}
	r := Record{Stream: s, Software: found.Software, Sender: found.Sender}
	j := b.ask(ctx, r, b.judge(r))
	if j != certain {
		b.Log.Emit(limpetlog.OriginInDoubt, limpetlog.Server(r.Sender.Server), limpetlog.Value("software", r.Software), limpetlog.Value("source", source),
			limpetlog.Value("started_again", j == disproved), limpetlog.Value("age_ms", b.Now().Sub(r.Sender.Began).Milliseconds()))
		return "", source
	}
	// The caller may come back again, and the record must last as long.
	b.Record(Record{Stream: s, Software: r.Software})
	return r.Software, source
}
