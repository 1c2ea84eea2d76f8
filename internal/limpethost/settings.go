package limpethost

import "time"

// Settings holds what a process is told of its VM and of the deployment.
type Settings struct {
	VM     string
	Zone   string
	Region string
	// ReadyAddress is where this VM tells whether it is ready.
	ReadyAddress string
	// RelayAddress is where other VMs of the system reach this one.
	RelayAddress string
	// Serves is set on VMs that callers reach, Keeps on VMs with a disk.
	Serves, Keeps bool
	// MemoryLimit is the largest memory of the process, in bytes.
	MemoryLimit int64
	// StoreWrites is the number of writes a second that all VMs may make.
	StoreWrites float64
	// StoreValue is the largest value of the store, in bytes.
	StoreValue int
	// LeaseLeast is the shortest lease of the store.
	LeaseLeast time.Duration
	// Heartbeat is the period in which backend servers register.
	Heartbeat time.Duration
	Duties    Duties
	Bounds    Bounds
}

// Duties says which duties the platform gives the system.
type Duties struct{ Usage, Fleet bool }

// Bounds holds the times that the deployment sets.
type Bounds struct {
	// Grace is the time from SIGTERM to the kill of the process.
	Grace time.Duration
	// Drain is how long a leaving server takes requests.
	Drain time.Duration
	// LeaseTurn is the time in which two VMs must not take turns in a duty.
	LeaseTurn time.Duration
	// UsageWindow is the length of a window, UsageLate when its report is due.
	UsageWindow, UsageLate time.Duration
	// StatusLife is how long a job can be read after its submission.
	StatusLife time.Duration
	// Cancel is when an ended job's items must not run any more.
	Cancel time.Duration
	// AddressReuse is when the address of a gone server may be another's.
	AddressReuse time.Duration
}
