package limpetdirector

import (
	"context"
	"time"

	"limpetmount.org/internal/limpetlog"
	"limpetmount.org/internal/limpettask"
)

// retirePause is the pause between tries to tell that a VM is empty.
const retirePause = 300 * time.Millisecond

// retirements tells of VMs that are to be emptied: one that is not the
// director keeps nothing. A director that is asked itself gives the duty up
// for good, and its successor tells.
func (d *Director) retirements() {
	for vm := range d.view.Retiring {
		if vm == d.VM {
			d.retire()
			return
		}
		if d.emptied[vm] {
			continue
		}
		d.emptied[vm] = true
		d.lead.group.Go(func(ctx context.Context) error {
			for ctx.Err() == nil {
				err := d.Emptied(ctx, vm)
				if err == nil {
					d.Log.Emit(limpetlog.RetireDone, limpetlog.Value("retired", vm))
					return nil
				}
				d.Log.Emit(limpetlog.RetireUntold, limpetlog.Value("retired", vm), limpetlog.Error(err))
				limpettask.Sleep(ctx, limpettask.Jitter(retirePause))
			}
			return nil
		})
	}
}

func (d *Director) retire() {
	d.retired = true
	if d.lead != nil {
		d.handOver(d.lead)
	}
	d.stepDown("the VM is being emptied")
	d.abandon()
	d.release()
}
