package limpetlog

import "github.com/sirupsen/logrus"

// catalogue holds every event in the order of definition.
var catalogue []Event

func define(number int, level logrus.Level, message, meaning string) Event {
	e := Event{Number: number, Level: level, Message: message, Meaning: meaning}
	catalogue = append(catalogue, e)
	return e
}

// Life of a node.
var (
	NodeStarted  = define(1001, logrus.InfoLevel, "node started", "The process listens on its addresses.")
	NodeReady    = define(1002, logrus.InfoLevel, "node ready", "Configuration is applied; the balancer may send callers.")
	NodeDraining = define(1003, logrus.InfoLevel, "node draining", "A graceful shutdown began; no new requests are taken.")
	NodeStopped  = define(1004, logrus.InfoLevel, "node stopped", "Every request finished or reached the drain limit.")
	TLSReloaded  = define(1005, logrus.InfoLevel, "certificate reloaded", "A changed certificate file is in use for new connections.")
	TLSFailed    = define(1006, logrus.WarnLevel, "certificate not reloaded", "A changed certificate file is unusable; the former one stays in use.")
)

// Configuration and keys.
var (
	ConfigApplied   = define(1101, logrus.DebugLevel, "configuration applied", "The node follows the log up to the given index.")
	ConfigRejected  = define(1102, logrus.ErrorLevel, "configuration entry not applied", "An entry of the log cannot be decoded; the node stays at its index. Update this VM.")
	ConfigUnsure    = define(1103, logrus.WarnLevel, "configuration unconfirmed", "The node cannot confirm that it has the newest configuration and refuses keys until it can.")
	ConfigSure      = define(1104, logrus.InfoLevel, "configuration confirmed again", "The node honours keys again.")
	KeySuspended    = define(1105, logrus.InfoLevel, "key suspended", "A withdrawal is in force here before it is durable.")
	KeyStreamsEnded = define(1106, logrus.InfoLevel, "streams of a withdrawn key ended", "Running streams of the key were cut off.")
	SnapshotWritten = define(1107, logrus.DebugLevel, "configuration snapshot written", "The log was compacted, or the data folder holds a newer snapshot.")
)

// Store and leases.
var (
	StoreDown      = define(1201, logrus.WarnLevel, "store unavailable", "Calls to the platform's store fail; work that needs none goes on.")
	StoreBack      = define(1202, logrus.InfoLevel, "store available", "Calls to the platform's store succeed again.")
	LeaseAcquired  = define(1203, logrus.InfoLevel, "lease acquired", "The node took over a duty.")
	LeaseLost      = define(1204, logrus.WarnLevel, "lease lost", "The node stopped a duty because it cannot prove that it still holds it.")
	LeaseReleased  = define(1205, logrus.InfoLevel, "lease released", "The node handed a duty over in a graceful shutdown.")
	MemberJoined   = define(1206, logrus.InfoLevel, "VM joined", "Another VM of the system answers heartbeats.")
	MemberDown     = define(1207, logrus.WarnLevel, "VM down", "Another VM of the system stopped answering heartbeats.")
	PeerCallFailed = define(1208, logrus.DebugLevel, "call to another VM failed", "A call between VMs failed and may be repeated.")
)

// Requests.
var (
	RequestDone     = define(1301, logrus.InfoLevel, "request finished", "A request got its whole answer.")
	RequestFailed   = define(1302, logrus.WarnLevel, "request failed", "A request ended without a whole answer; the outcome says whether it ran.")
	RequestRefused  = define(1303, logrus.DebugLevel, "request refused", "A request was refused before it ran.")
	AttemptFailed   = define(1304, logrus.WarnLevel, "attempt failed", "One attempt at a backend server failed; the request may go on elsewhere.")
	CrashReported   = define(1305, logrus.WarnLevel, "request suspected of a crash", "A backend server died while it ran this request.")
	Quarantined     = define(1306, logrus.ErrorLevel, "request quarantined", "The request crashed two distinct backend servers and is refused on all VMs.")
	QuarantineEnded = define(1307, logrus.InfoLevel, "quarantine released", "An operator released the request.")
)

// Jobs and weights.
var (
	StepCreated    = define(1401, logrus.InfoLevel, "step created", "A trainer's step was recorded and its samples are being generated.")
	StepFinished   = define(1402, logrus.InfoLevel, "step finished", "All samples of a step were acknowledged.")
	SampleRejected = define(1403, logrus.WarnLevel, "sample discarded", "A sample was late, stale or wrongly labelled and is generated again.")
	WeightsPublish = define(1404, logrus.InfoLevel, "weights published", "A trainer published a newer version.")
	WeightsActive  = define(1405, logrus.InfoLevel, "weights active", "All engines of the service report the newest version.")
	WeightsFailed  = define(1406, logrus.WarnLevel, "weight swap failed", "An engine did not take the newest version and gets no rollout work.")
	SessionFenced  = define(1407, logrus.WarnLevel, "trainer session fenced", "An older trainer process was refused.")
)

// Fleet and usage.
var (
	OrderSent      = define(1501, logrus.InfoLevel, "backend servers ordered", "An order went to the platform.")
	OrderSettled   = define(1502, logrus.InfoLevel, "order settled", "The outcome of an order is known.")
	OrderFailed    = define(1503, logrus.WarnLevel, "order failed", "The platform refused an order or did not answer.")
	ServerDraining = define(1504, logrus.InfoLevel, "backend server draining", "The backend server gets no new work.")
	WindowFrozen   = define(1601, logrus.InfoLevel, "usage window frozen", "The window's figures can no longer change.")
	WindowReported = define(1602, logrus.InfoLevel, "usage window reported", "The intake accepted the window's figures.")
	WindowFailed   = define(1603, logrus.WarnLevel, "usage report failed", "The intake refused a report or did not answer; the same bytes are sent again.")
)
