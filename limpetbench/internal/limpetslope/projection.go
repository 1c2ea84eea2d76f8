package limpetslope

import (
	"fmt"

	"gonum.org/v1/gonum/stat"

	"limpetmount.org/limpetbench/internal/limpetplot"
)

// Parameters of the size that the system is designed for.
const (
	designVMs     = 390
	designEngines = 12000
	designKeys    = 10000
	designZones   = 14
	// designChangesPerSecond is 47,000 configuration changes a day.
	designChangesPerSecond = 47000.0 / 86400
	// designVMsPerEngine is the number of VMs that forward requests to an engine.
	designVMsPerEngine = 3
	watchersPerZone    = 2
	// logEntryBytes is the size of a configuration log entry, and
	// entriesPerSegment the mean number of entries in a segment. A watch transfers
	// whole segments.
	logEntryBytes     = 330
	entriesPerSegment = 20
	base64Factor      = 4.0 / 3
	// loadReportBytes is the size of an engine's load report with its headers.
	loadReportBytes = 420
	// loadReportSeconds is the interval between load reports at the design size.
	loadReportSeconds = 8
)

// Upper bounds from the developer documentation: percent of a core and MB per
// VM, KB per second and VM for each kind of traffic, store calls per second of
// all VMs, and seconds.
const (
	boundCore    = 4.3
	boundMemory  = 64
	boundBytes   = 5
	boundWrites  = 150
	boundReads   = 700
	boundInForce = 18
)

// A linearFit is a least-squares line through measured values.
type linearFit struct {
	offset, slope, r2 float64
}

func fitLine(measurements []measurement, value func(measurement) float64) linearFit {
	var x, y []float64
	for _, m := range measurements {
		x, y = append(x, float64(m.vms)), append(y, value(m))
	}
	offset, slope := stat.LinearRegression(x, y, nil, false)
	return linearFit{offset: offset, slope: slope, r2: stat.RSquared(x, y, nil, offset, slope)}
}

func (f linearFit) predict(n float64) float64 { return f.offset + f.slope*n }

// aboveSmallSystem returns the measurements of systems with more than
// maxSmallSystemVMs VMs, which are too large for all VMs to exchange heartbeats
// with each other. Costs follow a different line below that size. If fewer than
// two such measurements exist, it returns all.
func aboveSmallSystem(measurements []measurement) []measurement {
	const maxSmallSystemVMs = 16
	var kept []measurement
	for _, m := range measurements {
		if m.vms > maxSmallSystemVMs {
			kept = append(kept, m)
		}
	}
	if len(kept) < 2 {
		return measurements
	}
	return kept
}

// projection extrapolates the measurements to the design size and compares the
// results with the bounds.
func projection(measurements []measurement, objects []objectCost) *limpetplot.Report {
	r := &limpetplot.Report{Name: "slopes-design", Columns: []string{"figure", "slope for each VM", "fit r2", "at 390 VMs", "bound", "verdict"}}
	addRow := func(name string, f linearFit, value, bound float64) {
		verdict := "within"
		if value > bound {
			verdict = "OVER"
		}
		r.Add(name, fmt.Sprintf("%.4f", f.slope), fmt.Sprintf("%.2f", f.r2), decimal(value), decimal(bound), verdict)
	}
	big := aboveSmallSystem(measurements)
	cpu := fitLine(big, func(m measurement) float64 { return percent * m.cpu })
	addRow("control, % of a core", cpu, cpu.predict(designVMs), boundCore)
	memoryMB := fitLine(big, func(m measurement) float64 { return m.memoryMB })
	addRow("control, MB", memoryMB, memoryMB.predict(designVMs)+stateMemory(objects), boundMemory)
	peers := fitLine(big, func(m measurement) float64 { return m.peerBytes / kilobyte })
	addRow("heartbeats, KB/s", peers, peers.predict(designVMs), boundBytes)
	loadReports := float64(designEngines*designVMsPerEngine) / designVMs * loadReportBytes / loadReportSeconds / kilobyte
	addRow("load reports, KB/s", linearFit{}, loadReports, boundBytes)
	configLog := designChangesPerSecond * entriesPerSegment * logEntryBytes * base64Factor / kilobyte
	addRow("configuration log at a watching VM, KB/s", linearFit{}, configLog, boundBytes)
	writes := fitLine(measurements, func(m measurement) float64 { return m.writes })
	addRow("store writes/s, all VMs", writes, writes.predict(designVMs)+designChangesPerSecond, boundWrites)
	reads := fitLine(measurements, func(m measurement) float64 { return m.reads + m.watches })
	addRow("store reads and watches/s, all VMs, from the fit", reads, reads.predict(designVMs), boundReads)
	addRow("store watches/s, by design: 2 VMs a zone", linearFit{}, designZones*watchersPerZone, boundReads)
	inForce := fitLine(big, func(m measurement) float64 { return m.inForceMax.Seconds() })
	addRow("configuration in force, largest s", inForce, inForce.predict(designVMs), boundInForce)
	return r
}

// stateMemory returns the memory of keys and engines at the design size, in MB.
// During a configuration change a VM holds two documents with all keys; the
// engines are counted once, as candidates.
func stateMemory(objects []objectCost) float64 {
	keyBytes, engineBytes := 0.0, 0.0
	for _, o := range objects {
		switch {
		case o.kind == "key" && o.count == designKeys:
			keyBytes = o.heapBytes
		case o.kind == "engine":
			engineBytes = o.heapBytes
		}
	}
	return (2*keyBytes*designKeys + engineBytes*designEngines) / megabyte
}
