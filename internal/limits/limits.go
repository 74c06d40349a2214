// Package limits holds every constant of the service: its value, its unit in
// the name or type, and the reason for it. Deployment figures (report
// intervals, leases, budgets) come from the settings file and are not here.
package limits

import "time"

// The wire.
const (
	// MaxBodyBytes bounds every request and response body, as the protocol sets.
	MaxBodyBytes = 64 << 10
	// DeclaredBodyBytes is up to which declared length a body's buffer is made before it arrives:
	// a report of some forty tasks.
	DeclaredBodyBytes = 4 << 10
	// MaxStoreBodyBytes bounds replies of the state service and the cloud, whose
	// pages may reach 512 KiB and whose watch answers have no limit of their own.
	MaxStoreBodyBytes = 8 << 20
	// MaxTasks is the most tasks that one job may have, as the protocol sets.
	MaxTasks = 100_000
	// MaxDepth bounds how deep messages nest; the protocol's reach four levels.
	MaxDepth = 16
	// MaxTextBytes bounds free text that a job record keeps, so that the record
	// fits the smallest value size of the state service.
	MaxTextBytes = 200
	// MaxSeconds bounds durations that are taken from messages, about 30 years: within it
	// they fit a time.Duration.
	MaxSeconds = 1e9
	// MaxTypesListed bounds the machine types one job may list.
	MaxTypesListed = 1000
)

// The steady clock.
const (
	// ClockDrift is the relative drift allowed between two steady clocks; the
	// protocol promises 0.05%, doubled here because both ends may drift.
	ClockDrift = 0.001
	// LeaseMargin is taken off every lease that this node holds and added to
	// every lease that others hold: it covers timer steps and scheduling delay
	// between reading the clock and the packet leaving.
	LeaseMargin = 300 * time.Millisecond
)

// Ownership.
const (
	// RecordFormat is the newest form of records that this version reads and writes:
	// 2 knows gangs and smaller parts of done sets.
	RecordFormat = 2
	// NodeLease is the life of a controller's state lease. Shorter finds a dead
	// owner sooner; longer rides out slow renewals on a small processor share.
	NodeLease = 3 * time.Second
	// RenewInterval leaves three tries within one NodeLease.
	RenewInterval = 700 * time.Millisecond
	// ExtensionLife is how long a peer's promise not to take over lasts. A
	// restarted peer waits this long before it takes over from another, so it
	// stays below NodeLease.
	ExtensionLife = 2200 * time.Millisecond
	// GrantLife is for how long a peer that promised keeps to it: longer than the asker
	// counts on it, whatever the drift of their clocks.
	GrantLife = ExtensionLife + LeaseMargin
	// ExtensionInterval is how often a suspended owner asks for promises anew.
	ExtensionInterval = 500 * time.Millisecond
	// CancelMargin is kept of cancel_s, beyond a worker's lease, between the last
	// answer that an owner gives without knowing of a cancellation and the time at
	// which its tasks must be gone: timers, and the way to the user.
	CancelMargin = time.Second
	// MinStaleness is the least time for which an owner may act without news of
	// cancellations, whatever cancel_s says: a watch without news, and its repeat.
	MinStaleness = 2*WatchHold + 2*StoreTimeout
	// CancelNoticeFor is for how long at least a node passes on a cancellation that it told a user
	// of, and longer until the job's record is known to be gone: by then every owner has heard of
	// it or has stopped answering.
	CancelNoticeFor = 2 * time.Minute
	// AloneAfter is how long the state service must be out of this node's reach,
	// but in a peer's, before this node sends its users to others.
	AloneAfter = 2 * time.Second
	// ElectionJitter spreads the claims of candidates so that failed
	// conditions don't use up the write budget.
	ElectionJitter = 150 * time.Millisecond
	// RemapInterval is how often the leader compares the mapping with the demand.
	RemapInterval = 500 * time.Millisecond
	// RetryClaim spaces repeated claims of the same key.
	RetryClaim = 500 * time.Millisecond
)

// The state service.
const (
	// OwnerWeight and OwnerWrites are an owner's parts of the budget of requests and of
	// changes for each part of a node that only takes in users' requests: a job costs
	// one change where it is submitted, and two or three at the owner.
	OwnerWeight = 3.0
	OwnerWrites = 5.0
	// StoreTimeout is how long a request to the state service may take; normal
	// answers take milliseconds, slow ones a few hundred.
	StoreTimeout = 1500 * time.Millisecond
	// WatchHold is how long a watch stays open without news; it also bounds for
	// how long a watch that went silent stays unnoticed.
	WatchHold = 5 * time.Second
	// WatchShare of a node's requests may go into watches: each change of any key ends
	// one, and what changes until the next comes with it.
	WatchShare = 0.3
	// StoreInFlight bounds the requests at the state service at one time.
	StoreInFlight = 12
	// StoreQueue bounds the waiting requests; beyond it the stages before hold back.
	StoreQueue = 2000
	// SlowerFor is for how long a node holds to the announced smaller budget of changes
	// after a refusal: if the change has come, one refusal in that time tells so again.
	SlowerFor = 2 * time.Minute
	// DownAfter is for how long the state service must have failed before users are
	// told so without trying.
	DownAfter = time.Second
	// SlowStore is how long a reply of the state service may take before it is logged as
	// slow: normal ones take milliseconds.
	SlowStore = 250 * time.Millisecond
	// KnowledgeLogInterval is how often each node logs what it knows of the state service.
	KnowledgeLogInterval = 10 * time.Second
	// StoreBackoff spaces requests after a refusal.
	StoreBackoff = 300 * time.Millisecond
	// BudgetUse is the part of the request budget that the nodes use together,
	// so that views of who owns what may lag without 429s.
	BudgetUse = 0.9
	// BurstUse is the part of one second's budget that a node may save up.
	BurstUse = 0.45
	// ProgressReserve is the part of the saved-up changes that done bits and clean-up
	// leave to what users wait for.
	ProgressReserve = 0.5
	// PrepareWait is for how long at most jobs that wait for their record before the
	// first launch are collected while the budget of changes is used up: many go into one.
	PrepareWait = time.Second
	// QueryReserve is the part of the saved-up requests that questions leave to
	// submissions and to what the owner has to write.
	QueryReserve = 0.3
	// PageFill is how full a key with many records gets, as a part of the largest
	// value; PageMost, bytes, bounds what one record's change sends again, and
	// PageTxn the records of one transaction, which may have 64 KiB.
	PageFill = 0.75
	PageMost = 6 << 10
	PageTxn  = 48 << 10
	// PageDelay is how long a record may wait that nobody waits for.
	PageDelay = time.Second
	// PackedTasks is up to how many tasks a job's done bits go with other jobs'.
	PackedTasks = 1024
	// ChunkTasks is the number of tasks whose done bits share one key: 1 KiB of bits,
	// 1.4 KiB as text, which fits a 2 KiB value. OldChunkTasks is the same for versions
	// that read no format but the first: 2.7 KiB as text.
	ChunkTasks    = 8192
	OldChunkTasks = 16384
	// BatchInterval is the pause between two writes of done bits (design).
	BatchInterval = 2 * time.Second
	// ScanInterval is how often an owner looks through its jobs for what is to be
	// written: at every event it would take most of a small processor share.
	ScanInterval = 50 * time.Millisecond
	// FleetScanInterval is how often an owner looks through its machines for records to be
	// written when nothing has told it of a change: what it can't be told of is a record that
	// was refused.
	FleetScanInterval = time.Second
	// MachineCheckInterval is how often an owner looks through its machines for those that are
	// silent, lost or to be returned. What it looks for lasts seconds; ten times a second this
	// took a twentieth of an owner's processor time.
	MachineCheckInterval = 250 * time.Millisecond
	// SortInterval is how long the order of jobs is kept when nothing was submitted
	// or ended; only the passing of time changes it then.
	SortInterval = 500 * time.Millisecond
	// RoundInterval is the least time between two looks at all machines and jobs for
	// what can start; a single report's room is filled at once.
	RoundInterval = 50 * time.Millisecond
	// MirrorPage is the page size when the mirror is read.
	MirrorPage = 500
)

// Links (package reachability).
const (
	// LinkQuantile of what was measured counts as the usual most.
	LinkQuantile = 0.99
	// LinkSuspectFactor times that is when a link becomes suspect, LinkDownFactor times that
	// again when it is down: reports come a quarter sooner or later than their interval,
	// and one that is lost must not take the link down.
	LinkSuspectFactor = 1.5
	LinkDownFactor    = 1.5
	// LinkFloor covers timer steps, and a processor that is busy with others' reports.
	LinkFloor = 250 * time.Millisecond
	// LinkLosses is how many requests in a row must be lost before a link is down.
	LinkLosses = 2
	// LinkRotate is how often the oldest third of the measured gaps is forgotten.
	LinkRotate = 30 * time.Second
	// LinkRefresh is how often the quantiles are reckoned anew, some microseconds a link.
	LinkRefresh = time.Second
	// FlapHalfLife, FlapSuppress and FlapReuse hold back links that come and go: at periods of
	// up to some 20 s they are suppressed, one that fails once a minute is not.
	FlapHalfLife = 30 * time.Second
	FlapSuppress = 2.5
	FlapReuse    = 0.8
	// FlapLongest bounds for how long a link is held back after its last failure.
	FlapLongest = time.Minute
	// ViewInterval is how often controllers tell each other their views, and ViewFreshFor for
	// how long one counts: two may be lost.
	ViewInterval = 2 * time.Second
	ViewFreshFor = 3*ViewInterval + PeerTimeout
)

// Users.
const (
	// SubmitWait is how long a submission may wait for the state service before
	// the user is told to come back.
	SubmitWait = 2500 * time.Millisecond
	// SubmitHold is the longest wait for the budget of changes that a submission is
	// taken in with; if it would be longer, the user is told when to come back.
	SubmitHold = time.Second
	// PollWait is SubmitWait for a query; users wait 2 s.
	PollWait = 1500 * time.Millisecond
	// MaxWaiting bounds requests of users that wait in this node.
	MaxWaiting = 400
	// FinalCache bounds the final job states that are kept in memory.
	FinalCache = 4096
	// RetryAfterS is what refused users are told, in seconds.
	RetryAfterS = 1
	// MaxOpenJobs bounds unfinished jobs, and with them the memory of a node.
	MaxOpenJobs = 20000
	// CountsInterval is how often an owner tells its peers the counts for display.
	CountsInterval = time.Second
)

// Machines.
const (
	// SilentReports is how many report intervals (at the slowest pace) a machine
	// may be silent before it is deleted to free its tasks; at most one and
	// SilentRetry, within which a worker whose report got no answer is back: it
	// waits 4 s for the answer, a second for the next node, and half for the one named.
	SilentReports = 3
	SilentRetry   = 6 * time.Second
	// SilentFloor is the least silence that counts, beyond a worker's change of node.
	SilentFloor = 7 * time.Second
	// TakeoverSlack, added to the slowest report interval, is how long a machine
	// may take to find a new owner: a refused report, a second's wait, and a
	// report that is redirected.
	TakeoverSlack = 2500 * time.Millisecond
	// ProbeAfter, added to the slowest report interval, is from what silence on a machine is
	// asked directly, again every ProbeInterval; ProbesInFlight bounds that.
	ProbeAfter     = 500 * time.Millisecond
	ProbeInterval  = 2 * time.Second
	ProbesInFlight = 96
	// TakeoverHeard is the part of the machines that must have found the new
	// owner before the others are taken for dead rather than cut off.
	TakeoverHeard = 0.6
	// ForeignArrivalFor is how long a worker that came to the wrong node shows that workers
	// reach that node.
	ForeignArrivalFor = 3 * time.Second
	// UnreachableReports, in report intervals, and UnreachableFloor are for how long an
	// owner may hear no worker at all before it hands its classes over: a worker
	// reports within a quarter more than its interval, and gives up on an answer
	// after 4 s. It must leave the workers most of their lease to find the next.
	UnreachableReports = 1.25
	UnreachableFloor   = 4 * time.Second
	// TakeoverPause is for how long no further machine must have found a new owner
	// before the missing ones are taken for dead.
	TakeoverPause = time.Second
	// MassSilenceLeast and MassSilenceShare are from how many, and what part, of the ordinary
	// machines on a common silence is taken for a cut or a hang that may end;
	// MassSilenceLeases is how many leases it may last. They are waited for only if the
	// cloud refused a machine of their kind within RefusedFor.
	MassSilenceLeast  = 3
	MassSilenceShare  = 0.2
	MassSilenceLeases = 2
	RefusedFor        = 60 * time.Second
	// BootFactor times the nominal boot time plus BootSlack: after that a
	// booting machine is given up.
	BootFactor = 2.0
	// BootSlack is added to the time for booting, for lists that lag.
	BootSlack = 10 * time.Second
	// IdleBoots is how long a machine may be idle before it is returned, in
	// nominal boot times: what is kept too long then costs no more than renting
	// anew, the fetch of an image included.
	IdleBoots = 0.7
	// RiskMemory is how long spot losses count; RiskPrior, losses and hours, is
	// what is assumed before any are seen: one loss an hour.
	RiskMemory = 120 * time.Second
	RiskPrior  = 0.3
	// SafeRisk is the risk of losing its machine from which a task that saves
	// nothing goes to an ordinary machine if there is a choice.
	SafeRisk = 0.03
	// LongRisk is the same for tasks without a deadline: from here on one loss in
	// eight costs more than the room that urgent tasks find elsewhere.
	LongRisk = 0.12
	// LateRisk is the chance that a job loses any of its tasks with spot machines from
	// which it had better run on ordinary ones, if a lost task could not be redone in
	// time. EstimateError is by how much tasks often run longer than estimated, and
	// RedoSlack the time until a loss is noticed and its task runs again.
	LateRisk      = 0.1
	EstimateError = 1.3
	RedoSlack     = 10 * time.Second
	// RentHorizon is within what time work without a target, or past all of
	// them, should be done: a machine is paid for a minute in any case.
	RentHorizon = 60 * time.Second
	// RentLeast is the least useful time that a machine is rented for.
	RentLeast = 30 * time.Second
	// EasyShare and TightShare of the time left until a job's target are what its
	// work may take before spot, or ordinary, machines are rented for it. The
	// rest is for wrong estimates and failures.
	EasyShare  = 0.35
	TightShare = 0.8
	// MinCharge is the least time that the cloud charges for.
	MinCharge = 60 * time.Second
	// RentBackoff spaces rental requests after a refusal of the same kind.
	RentBackoff = 6 * time.Second
	// RentMost is the most machines in one request, as the protocol sets.
	RentMost = 50
	// RentalsPlanned bounds the machines that one plan asks for: a job of
	// 100,000 tasks must not be packed onto thousands of them twice a second.
	RentalsPlanned = 100
	// DeleteMost is the most names in one deletion, as the protocol sets.
	DeleteMost = 100
	// CloudTimeout bounds a request to the cloud.
	CloudTimeout = 4 * time.Second
	// CloudBackoff spaces requests after the cloud failed.
	CloudBackoff = time.Second
	// ListInterval spaces machine lists; TypesInterval the price list.
	ListInterval  = 5 * time.Second
	TypesInterval = 30 * time.Second
	// CloudBudget is the part of the cloud's request budget used.
	CloudBudget = 0.8
	// StrikesOut is how many failed tasks in a row, of jobs not known to be bad,
	// condemn a machine.
	StrikesOut = 3
	// BadJobMachines is on how many machines a job's tasks fail without a
	// success before the job is taken for faulty.
	BadJobMachines = 3
	// BadJobSlots is how many tasks of a faulty job may run at a time.
	BadJobSlots = 2
	// RetryBase and RetryMost bound the exponential backoff of a faulty job.
	RetryBase = 2 * time.Second
	RetryMost = 60 * time.Second
	// PlanInterval is how often the need for machines is reckoned.
	PlanInterval = 500 * time.Millisecond
	// UsageLogInterval is how often the use of CPUs is logged.
	UsageLogInterval = 5 * time.Second
	// DirectInFlight bounds the orders sent straight to workers at one time, and
	// with them sockets; a machine has one at a time. More at once only make each wait for the
	// others on a small share of a core; fewer would wait for machines that do not answer.
	DirectInFlight = 24
	// OrderConnections is the part of max_sockets that idle connections to workers may take: an
	// order on a kept connection costs 76 us of processor time, on a new one 198 us. Machines in
	// use get one every half minute or so.
	OrderConnections = 0.25
	// OrderBuffer is the size of each of the two buffers of a connection to a worker, bytes: most
	// answers are a report of a few tasks, and hundreds of connections are kept.
	OrderBuffer = 2 << 10
	// DirectTimeout bounds one; a worker answers within milliseconds.
	DirectTimeout = 2 * time.Second
	// FencesInFlight bounds the orders without commands that only show workers a new owner's token,
	// apart from other orders: a takeover may need hundreds within the workers' leases. FenceRepeats
	// of them may be repeats, so that machines that don't answer hold up no others.
	FencesInFlight = 192
	FenceRepeats   = 96
	// FenceWait is for how long the answer to a report waits for that: a worker waits 4 s for it.
	FenceWait = 2500 * time.Millisecond
	// FenceRepeatAfter is from when on a fence without an answer is sent once more, then after twice
	// that time, and so on: a refused report costs its worker two seconds and more.
	FenceRepeatAfter = 300 * time.Millisecond
	// DirectSlack, added to a report interval, is from what silence on a machine is
	// sent no orders: they would hang.
	DirectSlack = 500 * time.Millisecond
	// ClearLeases is for how many leases an attempt that was launched by an order
	// stays with the worker after its end, in case the order is carried out again.
	ClearLeases = 4.0
	// MaxCommands bounds the commands of one answer, well inside MaxBodyBytes.
	MaxCommands = 200
	// AttemptBits is the width of the counter below the term in an attempt
	// number; terms up to 2^33 then stay below 2^53.
	AttemptBits = 20
	// RecallSlack is how long after the announced time a machine that was not heard
	// since is taken for gone.
	RecallSlack = time.Second
	// LeastLeft is the part of its estimate that a task is reckoned to run on, however
	// long it has run.
	LeastLeft = 0.2
	// DrainSpare is kept between a saving task's end and the machine's recall.
	DrainSpare = 2 * time.Second
)

// Gangs.
const (
	// GangHold is from what age on room is held for a gang that fits nowhere (design).
	GangHold = 60 * time.Second
	// GangReserveFactor times what gangs that should start soon have lately asked for at one time is
	// the room that machines of theirs have, at most GangReserveMost of all; GangDemandHalfLife is in what
	// time half of that is forgotten.
	GangReserveFactor  = 1.25
	GangReserveMost    = 0.15
	GangDemandHalfLife = 60 * time.Second
	// GangReserveInterval spaces the looks for such machines.
	GangReserveInterval = 500 * time.Millisecond
	// GangCompletion, beyond the fetch of its image, is how long placing and launching the
	// missing tasks of a gang may take: two reports of a slow machine.
	GangCompletion = 10 * time.Second
	// GangStopSlack, beyond a report, is for how long a gang that was told to stop and
	// save is waited for after gang_peer_s and its saving, before it is ended.
	GangStopSlack = 2 * time.Second
)

// The order of work.
const (
	// HopefulShare of its estimate is what a task is reckoned to run at least when
	// it is asked whether a job can still meet a target.
	HopefulShare = 1.0
	// CrowdedFor is how long the machines would be busy with the work that can
	// still meet a target before the least work goes first.
	CrowdedFor = 120 * time.Second
)

// What is borrowed beyond a guarantee and must be returned.
const (
	// PreemptInterval spaces the looks for what has to be returned: a start within a
	// guarantee may take some seconds.
	PreemptInterval = 500 * time.Millisecond
	// PreemptShare of the machines, beyond one, is claimed at one look at most, so that
	// work which is over by itself in a moment is not all stopped.
	PreemptShare = 0.1
	// PreemptSlack is how long, beyond two reports and the saving, the room of a
	// machine is kept for the job that waits for it.
	PreemptSlack = 3 * time.Second
	// PreemptMinRun is how long a task runs at least before its room is claimed: the
	// aims take a start that is undone sooner for none.
	PreemptMinRun = 30 * time.Second
)

// Starvation: even in a crowd every job begins within four minutes.
const (
	// BeginWithin is from what age on a job that has not begun goes first, with up
	// to BeginTasks tasks, and has a machine kept free for it if it fits nowhere.
	// A fetch, a boot and a long task that must end first fit in the rest.
	BeginWithin = 120 * time.Second
	BeginTasks  = 2
	// HoldShare is the part of the machines that may be kept free so, beyond one.
	HoldShare = 0.02
)

// The process.
const (
	// TickInterval is the pace of the event loop's own work.
	TickInterval = 100 * time.Millisecond
	// PauseThreshold is from what pause between two events on this process is taken to have
	// stood still: TickInterval brings one, late on a busy processor.
	PauseThreshold = time.Second
	// Inbox bounds events that wait for the event loop.
	Inbox = 1024
	// Questions bounds users' questions that wait for the event loop. They wait for
	// QuestionRoom to get there and for QuestionEdge then: users give up after 2 s,
	// and are better told to come back.
	Questions    = 64
	QuestionRoom = 300 * time.Millisecond
	QuestionEdge = 1600 * time.Millisecond
	// MemoryUse is the part of ram_mb that the Go heap may take.
	MemoryUse = 0.7
	// GCPercent is the garbage collector's target, in percent of the live heap, that
	// the heap may grow by before the next collection. An owner of 781 machines held a
	// live heap of at most 9.9 MB, an eighth of its heap limit on 114 MB, so
	// collections may be four times rarer than Go's default of 100; the heap limit
	// (MemoryUse) makes them more frequent when the heap nears it.
	GCPercent = 400
	// PeerCalls bounds the calls that wait for one peer.
	PeerCalls = 4
	// PeerTimeout bounds a call between controllers.
	PeerTimeout = time.Second
	// EdgeTimeout is when the HTTP edge gives up on the event loop.
	EdgeTimeout = 3500 * time.Millisecond
	// SocketReserve is the part of max_sockets kept from users, for workers,
	// probes and this node's own connections.
	SocketReserve = 0.4
	// UserIdle and IdleReports, report intervals, are when idle connections of users
	// and workers are closed: users poll about every 5 s, and a worker that has not
	// reported for two intervals comes back on another connection.
	UserIdle    = 20 * time.Second
	IdleReports = 2.5
	// ClientIdle closes this node's own idle connections.
	ClientIdle = 90 * time.Second
	// ResourceCheckInterval is how often a controller reads its heap, goroutines and
	// connections: reading the runtime's metrics costs microseconds.
	ResourceCheckInterval = time.Second
	// ResourceLogInterval is how often what a controller holds is logged at info.
	ResourceLogInterval = 30 * time.Second
	// BudgetWarning is the part of the heap limit or of max_sockets from which a
	// controller warns: above 60% of max_sockets users' connections are already not
	// kept open, and at the heap limit the garbage collector runs far more often.
	BudgetWarning = 0.85
)
