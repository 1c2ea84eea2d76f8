package limpethost

import "time"

// Settings holds the settings of a VM and its deployment.
type Settings struct {
	VM   string
	Zone string
	// Regions holds the region of each availability zone.
	Regions map[string]string
	// ReadyAddress is the address at which this VM reports whether it is
	// ready.
	ReadyAddress string
	// RelayAddress is the address at which other VMs of the system reach this
	// one.
	RelayAddress string
	// ServesCallers is set on VMs that serve callers, HasDisk on VMs with a
	// disk.
	ServesCallers, HasDisk bool
	// MemoryLimit is the memory limit of the process, in bytes.
	MemoryLimit int64
	// MaxDescriptors is the largest number of open descriptors of the process; 0 for
	// a default.
	MaxDescriptors int
	// MinLeaseTTL is the shortest lease that the store grants.
	MinLeaseTTL time.Duration
	Duties      Duties
	Bounds      Bounds
}

// Duties says which tasks the platform assigns to the system: reporting usage
// and ordering backend servers.
type Duties struct{ Usage, Fleet bool }

// Bounds holds the time limits of the deployment.
type Bounds struct {
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
	// Config is the time within which a configuration must be in effect on all
	// VMs, and Drain the time within which a draining server must stop getting
	// requests.
	Config, Drain time.Duration
	// Contact is the time after which a VM must serve although it is cut off from
	// backend servers; 0 if none is stated.
	Contact time.Duration
	// MinTakeoverInterval is the time within which a duty must not pass back
	// and forth between two VMs.
	MinTakeoverInterval time.Duration
	// UsageWindow is the length of a usage window, UsageReportDeadline the time
	// from its end until its report is due.
	UsageWindow, UsageReportDeadline time.Duration
	// JobRetention is how long after its submission a job can be read.
	JobRetention time.Duration
	// ColdOverage and ColdSlack bound the requests that a cold server may get in a
	// second: ColdOverage times what its service's configuration allows, and ColdSlack.
	ColdOverage, ColdSlack float64
}
