package limpetdirector

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

// retireRetryDelay is the mean delay between attempts to report that a VM is
// empty.
const retireRetryDelay = 300 * time.Millisecond

// reportRetired reports retiring VMs as empty: a VM other than the director
// holds no state. If the director's own VM is retiring, it gives up the duty
// for good, and its successor reports it.
func (d *Director) reportRetired() {
	for vm := range d.view.Retiring {
		if vm == d.VM {
			d.retireSelf()
			return
		}
		if d.retirementReported[vm] {
			continue
		}
		d.retirementReported[vm] = true
		d.leadership.group.Go(func(ctx context.Context) error {
			for ctx.Err() == nil {
				err := d.ReportRetired(ctx, vm)
				if err == nil {
					d.Log.Emit(limpetlog.VMRetired, limpetlog.Value("retired", vm))
					return nil
				}
				d.Log.Emit(limpetlog.RetirementNotReported, limpetlog.Value("retired", vm), limpetlog.Error(err))
				limpettask.Sleep(ctx, limpettask.Jitter(retireRetryDelay))
			}
			return nil
		})
	}
}

func (d *Director) retireSelf() {
	d.retired = true
	if d.leadership != nil {
		d.flushDrafts(d.leadership)
	}
	d.stepDown("this VM is retiring")
	d.abandonJobs()
	d.releaseLease()
}
