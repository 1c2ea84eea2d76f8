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
	StoreForgot    = define(1209, logrus.InfoLevel, "store forgot history", "Changes since the last answer are not known any more; the prefix is listed anew.")
	LeaseAcquired  = define(1203, logrus.InfoLevel, "lease acquired", "The node took over a duty.")
	LeaseLost      = define(1204, logrus.WarnLevel, "lease lost", "The node stopped a duty because it cannot prove that it still holds it.")
	LeaseReleased  = define(1205, logrus.InfoLevel, "lease released", "The node handed a duty over in a graceful shutdown.")
	MemberJoined   = define(1206, logrus.InfoLevel, "VM joined", "Another VM of the system answers heartbeats.")
	MemberDown     = define(1207, logrus.WarnLevel, "VM down", "Another VM of the system stopped answering heartbeats.")
	PeerCallFailed = define(1208, logrus.DebugLevel, "call to another VM failed", "A call between VMs failed and may be repeated.")
)

// Requests.
var (
	RequestDone            = define(1301, logrus.InfoLevel, "request finished", "A request got its whole answer.")
	RequestFailed          = define(1302, logrus.WarnLevel, "request failed", "A request ended without a whole answer; the outcome says whether it ran.")
	RequestRefused         = define(1303, logrus.DebugLevel, "request refused", "A request was refused before it ran.")
	AttemptFailed          = define(1304, logrus.WarnLevel, "attempt failed", "One attempt at a backend server failed; the request may go on elsewhere.")
	CrashReported          = define(1305, logrus.WarnLevel, "request suspected of a crash", "A backend server died while it ran this request.")
	Quarantined            = define(1306, logrus.ErrorLevel, "request quarantined", "The request crashed two distinct backend servers and is refused on all VMs.")
	RequestRefusedOrFailed = define(1308, logrus.InfoLevel, "request not served", "A caller's request got an answer of the system's own, or a failure of its server. The reason says whether it may have run.")
	StreamResumed          = define(1309, logrus.InfoLevel, "stream resumed", "A broken stream goes on at another backend server after the given event.")
	HeaderIgnored          = define(1310, logrus.InfoLevel, "header ignored", "A header cannot be read and counts as missing.")
	ServerFault            = define(1311, logrus.WarnLevel, "connection failed", "The HTTP server of this VM could not serve a connection or a request.")
	QuarantineEnded        = define(1307, logrus.InfoLevel, "quarantine released", "An operator released the request.")
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

// Batch jobs.
var (
	JobAccepted     = define(1701, logrus.InfoLevel, "job accepted", "A batch job stands in the store; its trainer was told so.")
	JobRefused      = define(1702, logrus.WarnLevel, "job not accepted", "A batch job was refused, or it is not known whether it stands in the store.")
	JobTaken        = define(1703, logrus.InfoLevel, "job taken", "The director carries out the job's items that are not listed yet.")
	JobEnded        = define(1704, logrus.InfoLevel, "job ended", "The trainer ended the job; its runs were broken off.")
	JobUnreadable   = define(1705, logrus.ErrorLevel, "job unreadable", "A value of the job cannot be decoded. Update this VM.")
	JobForgotten    = define(1708, logrus.InfoLevel, "job forgotten", "All that stood of an ended job in the store was removed; nobody may read it any more.")
	JobNotForgotten = define(1709, logrus.InfoLevel, "job not forgotten", "An ended job could not be removed from the store; it is tried again.")
	JobNotRead      = define(1707, logrus.InfoLevel, "job not read yet", "The store did not give a job or its results; they are asked for again until it does.")
	JobWithoutRoute = define(1706, logrus.WarnLevel, "job without route", "No route of the configuration in force leads to the job's service; it is tried again.")
	RunStarted      = define(1711, logrus.DebugLevel, "run started", "An item was sent to an engine, from the given event on.")
	RunFailed       = define(1712, logrus.InfoLevel, "run failed", "An engine refused an item or broke its stream; it goes on elsewhere unless it is settled.")
	RunCut          = define(1713, logrus.InfoLevel, "run broken off", "The director broke a run off. The cause says whether it goes on elsewhere.")
	TextWhole       = define(1716, logrus.DebugLevel, "text whole", "An engine delivered an item's text to its end.")
	RewardFailed    = define(1714, logrus.InfoLevel, "reward call failed", "A reward call brought no signed answer; it is repeated while it may be.")
	ItemErrored     = define(1715, logrus.WarnLevel, "item given up", "An item is listed as errored.")
	ResultsListed   = define(1721, logrus.InfoLevel, "results listed", "Results stand in the store at the given position.")
	ListingFailed   = define(1722, logrus.WarnLevel, "results not listed", "A write of results had no effect; what the store holds is read again.")
	DraftsNotKept   = define(1723, logrus.InfoLevel, "unfinished texts not kept", "A write of unfinished texts failed; the next one follows.")
	DutyNotTaken    = define(1731, logrus.DebugLevel, "duty not taken", "This VM tried to become the director and did not.")
	ReadRefused     = define(1732, logrus.InfoLevel, "job not read", "A reader of a job was told to come back, or that there is none.")
	CarrierJoined   = define(1734, logrus.InfoLevel, "carrier joined", "A VM sends runs to engines for the director; it may hold some of an earlier one.")
	CarrierLost     = define(1735, logrus.InfoLevel, "carrier lost", "A VM sends no more runs for the director; its runs wait again.")
	CarrierDoubted  = define(1737, logrus.InfoLevel, "carrier doubted", "Several engines were silent to a carrier; others send to them for a while.")
	RunTakenOver    = define(1736, logrus.InfoLevel, "run taken over", "The director goes on with a run that a carrier held for an earlier one.")
	TermEntered     = define(1733, logrus.InfoLevel, "term entered", "This VM is recorded as the director. It gives orders and reports once the time is over in which VMs must not take turns.")
)

// What a VM believes of the deployment.
var (
	TermNotRead  = define(1814, logrus.DebugLevel, "director not looked up", "The store did not tell who the director is, or what it holds cannot be read; it is asked again.")
	SiteChanged  = define(1801, logrus.InfoLevel, "deployment changed", "The VM took over a change of the configuration, a backend server or a named version.")
	SettingsRead = define(1802, logrus.InfoLevel, "settings read", "The settings file was read at the start or after a change.")
	SettingsBad  = define(1803, logrus.ErrorLevel, "settings not taken over", "The settings file changed and cannot be used; the former settings stay in use.")
	RetireUntold = define(1808, logrus.InfoLevel, "VM emptied, operator not told", "The store did not take the word that a VM may be removed; it is written again.")
	RetireDone   = define(1804, logrus.InfoLevel, "VM emptied", "The VM keeps nothing any more and may be removed.")
	ValueIgnored = define(1805, logrus.WarnLevel, "value ignored", "A value of the store cannot be read and names nothing to use.")
	LinesDropped = define(1806, logrus.WarnLevel, "log lines dropped", "The reader of the log was too slow; so many lines are missing.")
	RequestPanic = define(1807, logrus.ErrorLevel, "request handler failed", "A fault of the program ended one request.")
	CarryLost    = define(1812, logrus.InfoLevel, "carrying ended", "This VM carries no runs for the director any more. Its runs go on for a while and are offered to the next one.")
	PeersAsked   = define(1809, logrus.InfoLevel, "VMs asked for the store", "The director lost the store and asked other VMs; none reaches it.")
	RelayLost    = define(1810, logrus.InfoLevel, "director not heard", "The director gave no fresh word of the deployment; this VM follows the store itself.")
	RelayFound   = define(1811, logrus.InfoLevel, "director heard", "This VM follows the deployment through the director.")
)

// Fleet and usage.
var (
	OrderSent       = define(1501, logrus.InfoLevel, "backend servers ordered", "An order went to the platform.")
	OrderSettled    = define(1502, logrus.InfoLevel, "order settled", "The outcome of an order is known.")
	OrderFailed     = define(1503, logrus.WarnLevel, "order failed", "The platform refused an order or did not answer.")
	ServerDraining  = define(1504, logrus.InfoLevel, "backend server draining", "The backend server gets no new work.")
	ServersOrdered  = define(1505, logrus.InfoLevel, "backend servers ordered by zone", "The director asked the platform for a number of backend servers in an availability zone.")
	WindowFrozen    = define(1601, logrus.InfoLevel, "usage window frozen", "The window's figures can no longer change.")
	WindowReported  = define(1602, logrus.InfoLevel, "usage window reported", "The intake accepted the window's figures.")
	UsageNotWritten = define(1604, logrus.InfoLevel, "usage counts not written", "The store did not take this VM's counts; they are written again.")
	WindowFailed    = define(1603, logrus.WarnLevel, "usage report failed", "The intake refused a report or did not answer; the same bytes are sent again.")
)
