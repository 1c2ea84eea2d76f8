// Package limpetslope measures how the cost of the control plane grows with the
// number of VMs and of configuration objects, and extrapolates it to the size
// that the system is designed for.
package limpetslope

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime"
	"strings"
	"time"

	"golang.org/x/sys/unix"
	"gonum.org/v1/gonum/stat"

	"limpetmount.org/internal/limpetcluster"
	"limpetmount.org/internal/limpetnode"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/limpetbench/internal/limpetplot"
)

// Command holds the flags of limpetbench slopes.
type Command struct {
	VMs     []int         `name:"vms" help:"Numbers of VMs to measure." default:"4,8,16,24,32,48,64"`
	Time    time.Duration `help:"Duration of each measurement." default:"6s"`
	AllLive bool          `help:"Before each measurement, wait until every VM sees all others as live."`
	Write   string        `help:"Page in which the text between the slopes markers is replaced." type:"path"`
	Folder  string        `help:"Folder for CSV and plots." default:"out" type:"path"`
}

// A measurement holds the cost of one VM in a deployment with a given number of
// VMs. cpu is a fraction of one core, and the byte counts are per second. writes,
// reads, watches and byMechanism are store calls per second of all VMs together.
// inForceMean and inForceMax are times from the operator's command until a change
// is in force on all VMs.
type measurement struct {
	vms                      int
	cpu, memoryMB            float64
	peerBytes, platformBytes float64
	storeBytes               float64
	writes, reads, watches   float64
	byMechanism              map[string]float64
	inForceMean, inForceMax  time.Duration
}

const (
	engineCount = 16
	settleTime  = 3 * time.Second
	changeCount = 4
	percent     = 100
	kilobyte    = 1024
	megabyte    = 1 << 20
)

// Run measures all deployment sizes and object kinds, prints the tables, and
// writes the CSV files, the plot and the page.
func (c *Command) Run() error {
	ctx := context.Background()
	objects, err := measureObjects()
	if err != nil {
		return err
	}
	measurements := make([]measurement, 0, len(c.VMs))
	for _, n := range c.VMs {
		m, err := c.measureDeployment(ctx, n)
		if err != nil {
			return fmt.Errorf("%d VMs: %w", n, err)
		}
		measurements = append(measurements, m)
		fmt.Fprintf(os.Stderr, "%d VMs: %.2f%% of a core, %.2f KB/s to and from peers, changes in force after at most %.2f s\n", n, percent*m.cpu, m.peerBytes/kilobyte, m.inForceMax.Seconds())
	}
	perVM, perObject, atDesignSize := vmReport(measurements), objectReport(objects), projection(measurements, objects)
	var page strings.Builder
	for _, part := range []struct {
		title  string
		report *limpetplot.Report
	}{{"What a VM costs", perVM}, {"What an object costs", perObject}, {"At the size that the design is for", atDesignSize}} {
		fmt.Fprintf(&page, "\n### %s\n\n%s\n", part.title, part.report.Markdown())
		if err := part.report.WriteCSV(c.Folder); err != nil {
			return err
		}
	}
	fmt.Println(page.String())
	if err := c.plot(measurements); err != nil {
		return err
	}
	return c.updatePage(page.String())
}

func (c *Command) plot(measurements []measurement) error {
	var series []limpetplot.Series
	for _, s := range []struct {
		name  string
		value func(measurement) float64
	}{
		{"core, %", func(m measurement) float64 { return percent * m.cpu }},
		{"memory, MB", func(m measurement) float64 { return m.memoryMB }},
		{"to peers, KB/s", func(m measurement) float64 { return m.peerBytes / kilobyte }},
	} {
		line := limpetplot.Series{Name: s.name}
		for _, m := range measurements {
			line.X, line.Y = append(line.X, float64(m.vms)), append(line.Y, s.value(m))
		}
		series = append(series, line)
	}
	return limpetplot.WriteLines(c.Folder, "slopes", "Control cost of a VM", "VMs", "for each VM", series)
}

// Markers around the replaced part of a page.
const (
	beginMarker  = "<!-- slopes:begin -->"
	endMarker    = "<!-- slopes:end -->"
	pageFileMode = 0o644
)

// updatePage replaces the text between the markers of the page c.Write.
func (c *Command) updatePage(text string) error {
	if c.Write == "" {
		return nil
	}
	data, err := os.ReadFile(c.Write)
	if err != nil {
		return fmt.Errorf("page: %w", err)
	}
	before, rest, ok := strings.Cut(string(data), beginMarker)
	_, after, ok2 := strings.Cut(rest, endMarker)
	if !ok || !ok2 {
		return fmt.Errorf("page %s lacks the markers %s and %s", c.Write, beginMarker, endMarker)
	}
	return os.WriteFile(c.Write, []byte(before+beginMarker+"\n"+text+"\n"+endMarker+after), pageFileMode)
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u unix.Rusage
	// Getrusage cannot fail for RUSAGE_SELF.
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// collectGarbage runs several garbage collections, because emptying pools and
// running finalizers takes more than one, and returns the memory statistics.
func collectGarbage() runtime.MemStats {
	const rounds = 3
	for range rounds {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m
}

// heapAndStackMB returns the heap and stack memory in use, in MB.
func heapAndStackMB() float64 {
	m := collectGarbage()
	return float64(m.HeapInuse+m.StackInuse) / megabyte
}

// measureDeployment measures a deployment of n VMs, first without requests and
// then while its configuration changes.
func (c *Command) measureDeployment(ctx context.Context, n int) (measurement, error) {
	m := measurement{vms: n, byMechanism: map[string]float64{}}
	folder, remove, err := limpetcluster.TempFolder()
	if err != nil {
		return m, err
	}
	defer remove()
	before := heapAndStackMB()
	cluster, err := limpetcluster.New(ctx, limpetcluster.Options{Folder: folder, VMs: n, Zones: []string{"a", "b", "c", "d"}})
	if err != nil {
		return m, err
	}
	defer cluster.Close()
	wait := cluster.WaitServing
	if c.AllLive {
		wait = cluster.WaitReady
	}
	if err := wait(ctx); err != nil {
		return m, err
	}
	if _, err := cluster.RunStatements(ctx, 0, "create service drafts kind=engine; create account a1; create job notes account=a1 service=drafts"); err != nil {
		return m, err
	}
	for i := range engineCount {
		if err := cluster.AddEngine("drafts", "a", limpetorder.Standard, limpetstub.NewEngine(fmt.Sprintf("e%d", i), 8, time.Millisecond)); err != nil {
			return m, err
		}
	}
	time.Sleep(settleTime)
	m.memoryMB = (heapAndStackMB() - before) / float64(n)
	if err := m.measureIdle(cluster, c.Time); err != nil {
		return m, err
	}
	return m, m.measureChanges(ctx, cluster)
}

// measureIdle measures CPU, traffic and store calls over a period without
// requests.
func (m *measurement) measureIdle(cluster *limpetcluster.Cluster, duration time.Duration) error {
	n := float64(len(cluster.Nodes))
	calls, err := countStoreCalls(cluster.Nodes)
	if err != nil {
		return err
	}
	traffic, cpuBefore, start := cluster.Traffic(), cpuTime(), time.Now()
	time.Sleep(duration)
	took := time.Since(start).Seconds()
	after := cluster.Traffic()
	m.cpu = (cpuTime() - cpuBefore).Seconds() / took / n
	// The traffic between VMs is counted once per link, but both ends bear it.
	m.peerBytes = 2 * float64(after.Peers-traffic.Peers) / took / n
	m.storeBytes = float64(after.Store-traffic.Store) / took / n
	m.platformBytes = float64(after.Platform-traffic.Platform) / took / n
	now, err := countStoreCalls(cluster.Nodes)
	if err != nil {
		return err
	}
	for key, count := range now {
		rate := (count - calls[key]) / took
		m.byMechanism[key.mechanism] += rate
		switch key.kind {
		case "write":
			m.writes += rate
		case "watch":
			m.watches += rate
		default:
			m.reads += rate
		}
	}
	return nil
}

// measureChanges measures the time from the operator's command until a change is
// in force on all VMs.
func (m *measurement) measureChanges(ctx context.Context, cluster *limpetcluster.Cluster) error {
	var times []float64
	for i := range changeCount {
		index := cluster.Nodes[0].View().Config.Index + 1
		start := time.Now()
		failed := make(chan error, 1)
		cluster.Go(func() {
			_, err := cluster.RunStatements(ctx, 0, fmt.Sprintf("set account a1 weight=%d", i+2))
			failed <- err
		})
		err := limpetcluster.WaitUntil(ctx, "in force", func() bool {
			for _, n := range cluster.Nodes {
				if n.View().Config.Index < index {
					return false
				}
			}
			return true
		})
		took := time.Since(start)
		if err = errors.Join(err, <-failed); err != nil {
			return err
		}
		times = append(times, took.Seconds())
		m.inForceMax = max(m.inForceMax, took)
	}
	m.inForceMean = time.Duration(stat.Mean(times, nil) * float64(time.Second))
	return nil
}

// callLabels are the labels of the counters of store calls.
type callLabels struct {
	mechanism, kind string
}

// countStoreCalls sums the store call counters of all VMs.
func countStoreCalls(nodes []*limpetnode.Node) (map[callLabels]float64, error) {
	calls := map[callLabels]float64{}
	for _, n := range nodes {
		families, err := n.Metrics().Registry.Gather()
		if err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
		for _, f := range families {
			if f.GetName() != "limpet_store_calls_total" {
				continue
			}
			for _, m := range f.GetMetric() {
				var key callLabels
				for _, l := range m.GetLabel() {
					switch l.GetName() {
					case "mechanism":
						key.mechanism = l.GetValue()
					case "kind":
						key.kind = l.GetValue()
					}
				}
				calls[key] += m.GetCounter().GetValue()
			}
		}
	}
	return calls, nil
}

func vmReport(measurements []measurement) *limpetplot.Report {
	r := &limpetplot.Report{Name: "slopes-vm", Columns: []string{
		"VMs", "core %", "memory MB", "peers KB/s", "store KB/s", "platform KB/s", "store writes/s", "store reads/s", "watches/s", "in force mean s", "in force largest s",
	}}
	for _, m := range measurements {
		r.Add(fmt.Sprint(m.vms), decimal(percent*m.cpu), decimal(m.memoryMB), decimal(m.peerBytes/kilobyte), decimal(m.storeBytes/kilobyte),
			decimal(m.platformBytes/kilobyte), decimal(m.writes), decimal(m.reads), decimal(m.watches),
			decimal(m.inForceMean.Seconds()), decimal(m.inForceMax.Seconds()))
	}
	return r
}

func decimal(x float64) string { return fmt.Sprintf("%.2f", x) }
