package limpetslope

import (
	"fmt"

	"gonum.org/v1/gonum/stat"

	"limpetmount.org/limpetbench/internal/limpetplot"
)

// The size that the design is for.
const (
	designVMs     = 390
	designEngines = 12000
	designKeys    = 10000
	designZones   = 14
	// designChanges is the number of configuration changes a second.
	designChanges = 47000.0 / 86400
	// designReplicas is the number of VMs in front of each engine.
	designReplicas = 3
	watchersInZone = 2
	// entryBytes is the size of a log entry, and segmentEntries their mean
	// number in a segment, which a watch transfers whole.
	entryBytes     = 330
	segmentEntries = 20
	base64Factor   = 4.0 / 3
	// loadBytes is the size of an engine's load report with its headers.
	loadBytes = 420
	// loadPeriod is the period of load reports at that size, in seconds.
	loadPeriod = 8
)

// Bounds of the developers' page.
const (
	boundCore    = 4.3
	boundMemory  = 64
	boundBytes   = 5
	boundWrites  = 150
	boundReads   = 700
	boundInForce = 18
)

// A fit holds a straight line through measured points.
type fit struct {
	offset, slope, r2 float64
}

func fitOf(points []point, of func(point) float64) fit {
	var x, y []float64
	for _, p := range points {
		x, y = append(x, float64(p.vms)), append(y, of(p))
	}
	offset, slope := stat.LinearRegression(x, y, nil, false)
	return fit{offset: offset, slope: slope, r2: stat.RSquared(x, y, nil, offset, slope)}
}

func (f fit) at(n float64) float64 { return f.offset + f.slope*n }

// large returns the points above the size up to which all VMs exchange
// heartbeats with all; beyond it the costs follow another line.
func large(points []point) []point {
	const smallSystem = 16
	var kept []point
	for _, p := range points {
		if p.vms > smallSystem {
			kept = append(kept, p)
		}
	}
	if len(kept) < 2 {
		return points
	}
	return kept
}

func projection(points []point, objects []objectCost) *limpetplot.Report {
	r := &limpetplot.Report{Name: "slopes-design", Columns: []string{"figure", "slope for each VM", "fit r2", "at 390 VMs", "bound", "verdict"}}
	row := func(name string, f fit, value, bound float64) {
		verdict := "within"
		if value > bound {
			verdict = "OVER"
		}
		r.Add(name, fmt.Sprintf("%.4f", f.slope), fmt.Sprintf("%.2f", f.r2), decimal(value), decimal(bound), verdict)
	}
	big := large(points)
	core := fitOf(big, func(p point) float64 { return percent * p.core })
	row("control, % of a core", core, core.at(designVMs), boundCore)
	memory := fitOf(big, func(p point) float64 { return p.memory })
	row("control, MB", memory, memory.at(designVMs)+stateMemory(objects), boundMemory)
	peers := fitOf(big, func(p point) float64 { return p.peerBytes / kilobyte })
	row("heartbeats, KB/s", peers, peers.at(designVMs), boundBytes)
	loads := float64(designEngines*designReplicas) / designVMs * loadBytes / loadPeriod / kilobyte
	row("load reports, KB/s", fit{}, loads, boundBytes)
	log := designChanges * segmentEntries * entryBytes * base64Factor / kilobyte
	row("configuration log at a watching VM, KB/s", fit{}, log, boundBytes)
	writes := fitOf(points, func(p point) float64 { return p.writes })
	row("store writes/s, all VMs", writes, writes.at(designVMs)+designChanges, boundWrites)
	reads := fitOf(points, func(p point) float64 { return p.reads + p.watches })
	row("store reads and watches/s, all VMs, from the fit", reads, reads.at(designVMs), boundReads)
	row("store watches/s, by design: 2 VMs a zone", fit{}, designZones*watchersInZone, boundReads)
	inForce := fitOf(big, func(p point) float64 { return p.inForceLargest.Seconds() })
	row("configuration in force, largest s", inForce, inForce.at(designVMs), boundInForce)
	return r
}

// stateMemory returns the memory of keys and engines at the design's size, in
// MB: two documents during a change, and the VM's subset of engines.
func stateMemory(objects []objectCost) float64 {
	perKey, perEngine := 0.0, 0.0
	for _, o := range objects {
		switch {
		case o.kind == "key" && o.n == designKeys:
			perKey = o.memory
		case o.kind == "engine":
			perEngine = o.memory
		}
	}
	return (2*perKey*designKeys + perEngine*designEngines) / megabyte
}
