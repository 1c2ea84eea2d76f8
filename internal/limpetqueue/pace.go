package limpetqueue

import (
	"math"
	"time"
)

const (
	// paceMemory is the time constant of the mean rate, in time with requests waiting.
	paceMemory = 2 * time.Second
	// priorWeight is the time for which the estimated capacity counts at the beginning
	// of a shortage, and priorMemory how fast that fades: other VMs use the same servers.
	priorWeight = 250 * time.Millisecond
	priorMemory = 300 * time.Millisecond
	// doubt is the number of standard deviations by which the rate may be higher than
	// it was seen to be. Few requests prove little.
	doubt = 0.5
	// forgetTime is the time without a shortage after which the rate is learned anew.
	forgetTime = 3 * time.Second
	// minRate bounds estimates of the rate from below.
	minRate = 0.1
)

// A pace is the rate at which requests were begun while others waited. Times without
// waiting requests say nothing about the capacity.
type pace struct {
	at, busyAt time.Time
	// begun and busy are requests and seconds, decayed over paceMemory; total is the
	// time in seconds since the shortage began.
	begun, busy, total float64
}

// advance accounts for the time until now, in which requests waited or did not.
func (p *pace) advance(now time.Time, waiting bool) {
	elapsed := now.Sub(p.at).Seconds()
	if p.at = now; elapsed <= 0 {
		return
	}
	if !waiting {
		if now.Sub(p.busyAt) > forgetTime {
			p.begun, p.busy, p.total = 0, 0, 0
		}
		return
	}
	factor := math.Exp(-elapsed / paceMemory.Seconds())
	p.begun *= factor
	p.busy = p.busy*factor + (1-factor)*paceMemory.Seconds()
	p.total += elapsed
	p.busyAt = now
}

func (p *pace) begin() { p.begun++ }

func (p *pace) takeBack() { p.begun = max(0, p.begun-1) }

// rate returns the requests a second that may be begun, given an estimate of the
// servers' capacity.
func (p *pace) rate(capacity float64) float64 {
	weight := priorWeight.Seconds() * math.Exp(-p.total/priorMemory.Seconds())
	if p.busy+weight <= 0 {
		return capacity
	}
	begun := p.begun + 1 + doubt*math.Sqrt(p.begun+1)
	return (begun + capacity*weight) / (p.busy + weight)
}
