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

// checkRetirement gives up the duty for good if this VM is retiring. Its
// successor reports it as empty.
func (d *Director) checkRetirement() {
	if _, retiring := d.view.Retiring[d.VM]; !retiring || d.retired {
		return
	}
	d.retired = true
	if d.leadership != nil {
		d.flushDrafts(d.leadership)
	}
	d.stepDown("this VM is retiring")
	d.abandonJobs()
	d.releaseLease()
}

// reportRetired reports retiring VMs as empty, once in each term: a VM other
// than the director holds no state.
func (d *Director) reportRetired(time.Time) {
	l := d.leadership
	for vm := range d.view.Retiring {
		if l.reporting[vm] {
			continue
		}
		l.reporting[vm] = true
		l.group.Go(func(ctx context.Context) error {
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
