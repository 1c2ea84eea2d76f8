package limpethost

import "time"

// Settings holds what a process is told of its VM and of the deployment.
type Settings struct {
	VM   string
	Zone string
	// ReadyAddress is where this VM tells whether it is ready.
	ReadyAddress string
	// RelayAddress is where other VMs of the system reach this one.
	RelayAddress string
	// Serves is set on VMs that callers reach, Keeps on VMs with a disk.
	Serves, Keeps bool
	// MemoryLimit is the largest memory of the process, in bytes.
	MemoryLimit int64
	// LeaseLeast is the shortest lease of the store.
	LeaseLeast time.Duration
	Duties     Duties
	Bounds     Bounds
}

// Duties says which duties the platform gives the system.
type Duties struct{ Usage, Fleet bool }

// Bounds holds the times that the deployment sets.
type Bounds struct {
	// Grace is the time from SIGTERM to the kill of the process.
	Grace time.Duration
	// Config is when a configuration must be in force everywhere, and Drain when
	// a leaving server must get no requests any more.
	Config, Drain time.Duration
	// LeaseTurn is the time in which two VMs must not take turns in a duty.
	LeaseTurn time.Duration
	// UsageWindow is the length of a window, UsageLate when its report is due.
	UsageWindow, UsageLate time.Duration
	// StatusLife is how long a job can be read after its submission.
	StatusLife time.Duration
}
