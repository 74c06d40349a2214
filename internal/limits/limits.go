// Package limits holds every constant of the service: its value, its unit in
// the name or type, and the reason for it. Deployment figures (heartbeat
// intervals, leases, budgets) come from the settings file and are not here.
package limits

import "time"

// Limits of protocol messages.
const (
	// MaxBodyBytes bounds every request and response body, as the protocol requires.
	MaxBodyBytes = 64 << 10
	// MaxPreallocatedBodyBytes is the largest declared length for which a body's buffer is
	// allocated before the body arrives. A heartbeat with about forty tasks fits in it.
	MaxPreallocatedBodyBytes = 4 << 10
	// MaxStoreBodyBytes bounds replies of the state service and the cloud, whose
	// pages may reach 512 KiB and whose watch replies have no limit of their own.
	MaxStoreBodyBytes = 8 << 20
	// MaxTasks is the most tasks that one job may have, as the protocol requires.
	MaxTasks = 100_000
	// MaxNestingDepth bounds the nesting of messages; the messages of the protocol have four levels.
	MaxNestingDepth = 16
	// MaxTextBytes bounds free text that a job record keeps, so that the record
	// fits the smallest value size of the state service.
	MaxTextBytes = 200
	// MaxSeconds bounds durations that are taken from messages to about 30 years, so that they fit
	// a time.Duration.
	MaxSeconds = 1e9
	// MaxTypesListed bounds the machine types that one job may list.
	MaxTypesListed = 1000
)

// Tolerances for differences between monotonic clocks.
const (
	// ClockDrift is the relative drift allowed between two monotonic clocks: twice the 0.05%
	// that the protocol guarantees for each clock, because both may drift.
	ClockDrift = 0.001
	// LeaseMargin is subtracted from every lease that this node holds and added to
	// every lease that others hold. It covers timer steps and the scheduling delay
	// between reading the clock and sending the packet.
	LeaseMargin = 300 * time.Millisecond
)

// Timing of leases, extensions and the ownership of machine classes.
const (
	// RecordFormat is the newest record format that this version reads and writes.
	// Format 2 added gangs and smaller chunks of done sets.
	RecordFormat = 2
	// NodeLease is the duration of a controller's lease in the state service. With a shorter
	// lease, a dead owner is detected sooner; a longer one survives slow renewals on a small CPU
	// share.
	NodeLease = 3 * time.Second
	// RenewInterval is the interval between renewals of a controller's lease. It leaves three tries
	// within one NodeLease.
	RenewInterval = 700 * time.Millisecond
	// ExtensionTTL is how long an extension, a peer's permission to go on without the state
	// service, is valid for the owner that requested it. A restarted peer waits this long, plus
	// clock margins, before it takes over from another node. Even with these margins, the wait is
	// shorter than NodeLease.
	ExtensionTTL = 2200 * time.Millisecond
	// GrantTTL is how long the peer that granted an extension doesn't take over from the owner:
	// longer than the owner relies on the extension, whatever the drift of their clocks.
	GrantTTL = ExtensionTTL + LeaseMargin
	// ExtensionInterval is how often an owner requests extensions while the state service is
	// unreachable or the owner's information about cancellations is becoming stale.
	ExtensionInterval = 500 * time.Millisecond
	// CancelMargin is the part of cancel_s that is left after the longest time for which an owner
	// may answer workers without information about a cancellation, and the lease that its last
	// answer starts. It covers timers and the answer to the user.
	CancelMargin = time.Second
	// MinStaleness is the least time for which an owner may act without new information about
	// cancellations, whatever cancel_s is: two watches without events, each with the time that its
	// request may take.
	MinStaleness = 2*WatchHold + 2*StoreTimeout
	// LaunchHold is the time within which a peer that requested a hold of a job's launches must have
	// recorded the job's cancellation, so that it may confirm the cancellation on the strength of the
	// hold. It is longer than CancelTimeout.
	LaunchHold = 5 * time.Second
	// AnnouncementWait is how long an owner that has read a cancellation waits for a peer to announce it.
	// If none does, no peer can reach the owner, and it publishes in the state service what it has read.
	AnnouncementWait = 100 * time.Millisecond
	// CancelNoticeRetry is the least time between two tries to tell an owner of a cancellation. A user
	// waits for it: the connection to an owner that has restarted fails once.
	CancelNoticeRetry = 100 * time.Millisecond
	// CancelNoticeRetention is the least time for which a node passes on a cancellation that it
	// confirmed to a user. After that time, the node still passes it on until the job's record is
	// known to be removed. By then every owner has received the cancellation or has stopped
	// answering.
	CancelNoticeRetention = 2 * time.Minute
	// IsolatedAfter is how long the state service must be unreachable for this node, but reachable
	// for a peer, before this node reports that it is not ready. Users are then sent to other
	// nodes.
	IsolatedAfter = 2 * time.Second
	// ElectionJitter spreads the claims of candidates, because transactions whose
	// conditions fail use up the write budget.
	ElectionJitter = 150 * time.Millisecond
	// RemapInterval is how often the leader compares the mapping of classes with the demand.
	RemapInterval = 500 * time.Millisecond
	// ClaimRetryInterval is the pause between attempts to claim the same key.
	ClaimRetryInterval = 500 * time.Millisecond
)

// Timeouts, budgets and record sizes for the state service, and intervals of an owner's periodic work.
const (
	// OwnerRequestWeight and OwnerWriteWeight are the weights of an owner in the distribution of
	// the request and write budgets; a node that only accepts users' requests has weight 1. A
	// job costs one write at the node where it is submitted, and two or three at the owner.
	OwnerRequestWeight = 3.0
	OwnerWriteWeight   = 5.0
	// StoreTimeout bounds a request to the state service; normal
	// replies take milliseconds, slow ones a few hundred.
	StoreTimeout = 1500 * time.Millisecond
	// WatchHold is how long a watch stays open without events. It also bounds how long a watch
	// that has stopped delivering events goes unnoticed.
	WatchHold = 5 * time.Second
	// WatchShare is the fraction of a node's requests that watches may use. Each change of any key ends
	// a watch; the next watch also returns the changes made in between.
	WatchShare = 0.3
	// MaxStoreInFlight bounds the concurrent requests to the state service.
	MaxStoreInFlight = 12
	// MaxStoreQueue bounds the queued requests. Beyond it, all requests except those for leases are
	// refused, and the callers retry later.
	MaxStoreQueue = 2000
	// ReducedWriteRateHold is how long a node keeps to the announced lower write rate after the
	// state service refused a write with 429. If the service has really switched to the lower
	// rate, one more write is refused after each such period, and the next period begins.
	ReducedWriteRateHold = 2 * time.Minute
	// StoreUnreachableAfter is how long the state service must have failed before users'
	// requests are refused without trying it.
	StoreUnreachableAfter = time.Second
	// SlowStoreReply is the latency from which a reply of the state service is logged as
	// slow; normal replies take milliseconds.
	SlowStoreReply = 250 * time.Millisecond
	// KnowledgeLogInterval is how often each node logs the state on which it acts,
	// such as the leader, its terms and the age of its mirror of the state service.
	KnowledgeLogInterval = 10 * time.Second
	// StoreBackoff is the pause after the state service failed or refused a request.
	StoreBackoff = 300 * time.Millisecond
	// StoreBudgetUse is the fraction of the request and write budgets that the nodes use together. The
	// rest prevents 429 replies while nodes have outdated views of who owns which class.
	StoreBudgetUse = 0.9
	// StoreBurstUse is the fraction of one second's budget that a node may accumulate.
	StoreBurstUse = 0.45
	// ProgressReserve is the fraction of the accumulated write budget that writes of done sets and
	// clean-up leave to writes that users wait for.
	ProgressReserve = 0.5
	// MaxPrepareWait bounds how long jobs that need a record before their first launch are
	// collected while the write budget is used up. One write then stores the records of many jobs.
	MaxPrepareWait = time.Second
	// QueryReserve is the fraction of the accumulated request budget that queries leave to submissions
	// and to the owner's writes.
	QueryReserve = 0.3
	// PageFillShare is the fraction of the largest value size up to which a key with many records is
	// filled. MaxPageBytes also bounds such a key, because a change of one record writes all records of
	// the key again. MaxPageTxnBytes bounds the records in one transaction, whose whole body may have 64
	// KiB.
	PageFillShare   = 0.75
	MaxPageBytes    = 6 << 10
	MaxPageTxnBytes = 48 << 10
	// DeferredWriteDelay is how long the write of a record that nothing waits for may be delayed.
	DeferredWriteDelay = time.Second
	// MaxPackedTasks is the largest number of tasks for which a job's done set shares a key
	// with the done sets of other jobs.
	MaxPackedTasks = 1024
	// ChunkTasks is the number of tasks whose done bits share one key: 1 KiB of bits, 1.4 KiB as
	// text, which fits a 2 KiB value. Format1ChunkTasks is the number of tasks in a chunk for
	// versions that read only record format 1; such a chunk takes 2.7 KiB as text.
	ChunkTasks        = 8192
	Format1ChunkTasks = 16384
	// DoneSetFlushInterval is the pause between two writes of done sets.
	DoneSetFlushInterval = 2 * time.Second
	// RecordScanInterval is how often an owner checks its jobs, and its machines after a change,
	// for records to be written. A check at every event would take most of a small CPU share.
	RecordScanInterval = 50 * time.Millisecond
	// MachineRecordScanInterval is how often an owner checks its machines for records to be
	// written when no event reported a change. The check finds records whose write was refused,
	// which no event reports.
	MachineRecordScanInterval = time.Second
	// MachineCheckInterval is how often an owner checks its machines for those that are silent,
	// lost or to be returned to the cloud. These conditions last seconds, and ten checks a second
	// would take a twentieth of an owner's CPU time.
	MachineCheckInterval = 250 * time.Millisecond
	// JobSortInterval is how long the order of jobs is reused while no job is submitted
	// or ends; without such events, the order changes only with time.
	JobSortInterval = 500 * time.Millisecond
	// SchedulingInterval is the least time between two scheduling rounds over all machines and
	// jobs. Resources that a single heartbeat frees are allocated at once.
	SchedulingInterval = 50 * time.Millisecond
	// MirrorPageSize is the number of entries per page when the mirror is loaded.
	MirrorPageSize = 500
)

// Detection of failed links between processes (package reachability).
const (
	// LinkQuantile is the quantile of the measured gaps and latencies that counts as their
	// usual maximum.
	LinkQuantile = 0.99
	// LinkSuspectFactor times the usual maximum, plus LinkSlack, is the silence or latency after
	// which a link is suspect. LinkDownFactor times the result is the silence after which the link
	// is down. Heartbeats arrive up to a quarter of their interval early or late, and a single
	// lost heartbeat must not take the link down.
	LinkSuspectFactor = 1.5
	LinkDownFactor    = 1.5
	// LinkSlack is added to the silence or latency after which a link is suspect. It covers timer
	// steps and a CPU that is busy with other heartbeats.
	LinkSlack = 250 * time.Millisecond
	// LinkLossesForDown is how many requests in a row must be lost before a link is down.
	LinkLossesForDown = 2
	// LinkRotateInterval is how often the oldest third of the measurements is dropped.
	LinkRotateInterval = 30 * time.Second
	// LinkRefreshInterval is how often the quantiles are recomputed, which takes some
	// microseconds per link.
	LinkRefreshInterval = time.Second
	// FlapHalfLife, FlapSuppress and FlapReuse suppress flapping links. Each failure adds 1 to a
	// penalty that halves every FlapHalfLife. A link is suppressed once its penalty reaches
	// FlapSuppress, until the penalty is below FlapReuse. Links that fail at least every 20 s or
	// so are suppressed; a link that fails once a minute is not.
	FlapHalfLife = 30 * time.Second
	FlapSuppress = 2.5
	FlapReuse    = 0.8
	// FlapLongestSuppression bounds how long a link is suppressed after its last failure.
	FlapLongestSuppression = time.Minute
	// ViewInterval is how often controllers send each other their views of the links.
	// ViewMaxAge is how long a received view is used; two views in a row may be lost.
	ViewInterval = 2 * time.Second
	ViewMaxAge   = 3*ViewInterval + PeerTimeout
)

// Timeouts and limits of user requests.
const (
	// SubmitTimeout is how long a submission may wait for the state service before
	// the user is asked to try again.
	SubmitTimeout = 2500 * time.Millisecond
	// CancelTimeout is how long a cancellation that is recorded may wait until no owner can launch the
	// job's tasks any more, counted from the request. An owner that no peer reaches is replaced sooner:
	// its lease ends within NodeLease. CancelAnswerTimeout is how long the HTTP handler waits for the
	// answer. Users wait 5 s.
	CancelTimeout       = 4 * time.Second
	CancelAnswerTimeout = 4500 * time.Millisecond
	// MaxSubmitWriteWait is the longest wait for the write budget with which a submission
	// is still accepted. If the wait would be longer, the reply says when to try again.
	MaxSubmitWriteWait = time.Second
	// QueryTimeout is how long a query may wait for the state service before the user is asked to
	// try again. Users wait 2 s for the answer to a query.
	QueryTimeout = 1500 * time.Millisecond
	// MaxWaitingRequests bounds the users' requests that wait in this node.
	MaxWaitingRequests = 400
	// MaxCachedFinalStates bounds the final job states that are kept in memory.
	MaxCachedFinalStates = 4096
	// RetryAfterS is the delay, in seconds, after which refused users are asked to try again.
	RetryAfterS = 1
	// MaxOpenJobs bounds the unfinished jobs, and so the memory that a node needs for them.
	MaxOpenJobs = 20000
	// CountsInterval is how often an owner sends its peers the task counts that users see.
	CountsInterval = time.Second
)

// Renting, monitoring and returning machines, and orders to their workers.
const (
	// MaxMissedHeartbeats is the number of heartbeat intervals for which a machine may be silent
	// before it is deleted to free its tasks. Each interval is counted a quarter longer, because
	// heartbeats may be that late. The allowed silence is at most one such interval plus
	// HeartbeatRetryTime, within which a worker whose heartbeat got no answer sends the next one:
	// the worker waits 4 s for the answer, 1 s before it tries the next node, and 0.5 s for the
	// owner that the next node names.
	MaxMissedHeartbeats = 3
	HeartbeatRetryTime  = 6 * time.Second
	// MinSilenceLimit is the least silence after which a machine is deleted, however short the
	// heartbeat interval. It is longer than a worker takes to change to another node.
	MinSilenceLimit = 7 * time.Second
	// TakeoverSlack plus 1.25 heartbeat intervals is how long a machine may take to find a new
	// owner: a refused heartbeat, a pause of one second, and a heartbeat that is redirected.
	TakeoverSlack = 2500 * time.Millisecond
	// ProbeSlack plus 1.25 heartbeat intervals is the silence after which a machine is probed. The
	// probe is repeated every ProbeInterval. MaxProbesInFlight bounds the concurrent probes.
	ProbeSlack        = 500 * time.Millisecond
	ProbeInterval     = 2 * time.Second
	MaxProbesInFlight = 96
	// TakeoverReportedShare is the fraction of the machines that must have sent the new owner a
	// heartbeat before the others are presumed dead rather than partitioned.
	TakeoverReportedShare = 0.6
	// ForeignArrivalMaxAge is how long a heartbeat that reached a node which doesn't own its class
	// counts as evidence that workers can reach that node.
	ForeignArrivalMaxAge = 3 * time.Second
	// UnreachableHeartbeats heartbeat intervals or UnreachableFloor, whichever is longer, is the
	// time after which an owner that received no heartbeat at all hands its classes over. A worker
	// sends its next heartbeat within 1.25 intervals, and stops waiting for an answer after 4 s.
	// The time must leave the workers most of their lease to find the next owner.
	UnreachableHeartbeats = 1.25
	UnreachableFloor      = 4 * time.Second
	// TakeoverSettleTime is how long no further machine must have sent a new owner its first
	// heartbeat before the missing machines are presumed dead.
	TakeoverSettleTime = time.Second
	// MassSilenceMinMachines and MassSilenceShare are the number and the fraction of the on-demand
	// machines from which a simultaneous silence is treated as a partition or a hang that may end. If
	// the cloud refused a machine of their kind within RefusalMaxAge, these machines are not deleted
	// before they have been silent for MassSilenceLeases leases.
	MassSilenceMinMachines = 3
	MassSilenceShare       = 0.2
	MassSilenceLeases      = 2
	RefusalMaxAge          = 60 * time.Second
	// BootFactor times the nominal boot time, plus BootSlack, is the time after which a booting machine
	// is considered failed.
	BootFactor = 2.0
	// BootSlack is added to the boot time because the cloud's machine lists lag.
	BootSlack = 10 * time.Second
	// IdleBootTimes is how long a machine may be idle before it is returned to the cloud, in
	// nominal boot times. A machine that is kept too long then costs no more than a new rental,
	// including the fetch of an image.
	IdleBootTimes = 0.7
	// SpotRiskDecayTime is the time constant of the exponential decay of past spot losses.
	// SpotRiskPrior is both the number of losses and the number of machine hours that are assumed
	// before any are observed, which is a rate of one loss an hour.
	SpotRiskDecayTime = 120 * time.Second
	SpotRiskPrior     = 0.3
	// MaxDeadlineSpotRisk is the highest risk of losing its spot machine that a task without
	// checkpoints may take if its job has a deadline. Above it, the task runs on an on-demand
	// machine if there is a choice.
	MaxDeadlineSpotRisk = 0.03
	// MaxSpotRisk is the highest risk of losing its spot machine that a task without checkpoints may
	// take if its job has no deadline. Above it, the loss of one task in eight costs more than the
	// on-demand capacity that is otherwise taken from urgent tasks.
	MaxSpotRisk = 0.12
	// MaxLateRisk is the highest chance of losing any of its tasks that a job on spot machines
	// may take if a lost task could not be redone in time. Above it, the job runs on on-demand
	// machines. EstimateErrorFactor is the factor by which tasks often run longer than
	// estimated, and RedoSlack the time until a loss is detected and its task runs again.
	MaxLateRisk         = 0.1
	EstimateErrorFactor = 1.3
	RedoSlack           = 10 * time.Second
	// RentHorizon is the time within which work without a target, or past all its
	// targets, should be done. It is a minute because a rental is charged for at least that long.
	RentHorizon = 60 * time.Second
	// MinUsefulRental is the least time, after its boot, for which a machine is rented.
	MinUsefulRental = 30 * time.Second
	// FinishWithMarginShare and FinishOnTimeShare are the fractions of the time left until a job's
	// target that its work may take before spot machines, or on-demand machines, respectively, are
	// rented for it. The rest allows for wrong estimates and failures.
	FinishWithMarginShare = 0.35
	FinishOnTimeShare     = 0.8
	// MinCharge is the least time that the cloud charges for.
	MinCharge = 60 * time.Second
	// RentBackoff is the pause before machines of a kind are requested again after a refusal.
	RentBackoff = 6 * time.Second
	// MaxRentalsPerRequest is the most machines in one request, as the protocol requires.
	MaxRentalsPerRequest = 50
	// MaxPlannedRentals bounds the machines that one plan requests. Without this bound, a job of 100,000
	// tasks would be placed on thousands of planned machines twice a second.
	MaxPlannedRentals = 100
	// MaxDeletionsPerRequest is the most machines in one deletion, as the protocol requires.
	MaxDeletionsPerRequest = 100
	// CloudTimeout bounds a request to the cloud.
	CloudTimeout = 4 * time.Second
	// CloudBackoff is the pause before the next request after the cloud failed.
	CloudBackoff = time.Second
	// MachineListInterval is the pause between reads of the machine list, and MachineTypesInterval
	// the pause between reads of the machine types and their prices.
	MachineListInterval  = 5 * time.Second
	MachineTypesInterval = 30 * time.Second
	// CloudBudgetUse is the fraction of the cloud's request budget that is used.
	CloudBudgetUse = 0.8
	// FaultyMachineFailures is how many task failures in a row, of jobs that are not known to
	// be faulty, make a machine count as faulty.
	FaultyMachineFailures = 3
	// FaultyJobMachines is the number of machines on which a job's tasks must fail, without a
	// success, before the job counts as faulty.
	FaultyJobMachines = 3
	// MaxFaultyJobTasks is how many tasks of a faulty job may run at a time.
	MaxFaultyJobTasks = 2
	// FaultyJobBackoffBase and FaultyJobBackoffMax bound the exponential backoff of a faulty job.
	FaultyJobBackoffBase = 2 * time.Second
	FaultyJobBackoffMax  = 60 * time.Second
	// FleetPlanInterval is how often the demand for machines is computed.
	FleetPlanInterval = 500 * time.Millisecond
	// UsageLogInterval is how often the use of CPUs is logged.
	UsageLogInterval = 5 * time.Second
	// MaxDirectOrdersInFlight bounds the concurrent direct orders other than probes and fences, and
	// so the sockets that they use; a machine has one such order at a time. With a higher bound, the
	// orders would only wait for each other on a small CPU share. With a lower bound, they would wait
	// for machines that do not answer.
	MaxDirectOrdersInFlight = 24
	// OrderConnectionShare is the fraction of max_sockets that idle connections to workers may use. A
	// direct order costs 76 us of CPU time on a kept connection, and 198 us on a new one. A machine in
	// use gets a direct order about every half minute.
	OrderConnectionShare = 0.25
	// OrderBufferBytes is the size of each of the two buffers of a connection to a worker. Most
	// answers are a heartbeat with a few tasks, and hundreds of connections are kept.
	OrderBufferBytes = 2 << 10
	// DirectOrderTimeout bounds a direct order, including probes and fences; workers answer within
	// milliseconds.
	DirectOrderTimeout = 2 * time.Second
	// MaxFencesInFlight bounds the concurrent fences: direct orders without commands that only
	// carry a new owner's fencing token. Fences have a bound of their own because a takeover may
	// need hundreds of them within the workers' leases. At most MaxFenceRepeats of them may be
	// repeats, so that machines that don't answer delay no others.
	MaxFencesInFlight = 192
	MaxFenceRepeats   = 96
	// FenceWait is how long the answer to a heartbeat waits for a fence; the worker waits 4 s for
	// the answer.
	FenceWait = 2500 * time.Millisecond
	// FenceRepeatDelay is the time after which an unanswered fence is repeated. The delay doubles
	// with each repeat. Repeats are worthwhile because a refused heartbeat costs its worker two
	// seconds or more.
	FenceRepeatDelay = 300 * time.Millisecond
	// DirectOrderSlack plus a heartbeat interval is the silence after which a machine is sent no
	// direct orders, because they would hang.
	DirectOrderSlack = 500 * time.Millisecond
	// ClearAfterLeases is the number of leases for which an attempt that was launched by a direct
	// order stays listed at the worker after its end, in case the order is carried out again.
	ClearAfterLeases = 4.0
	// MaxCommands bounds the commands of one answer, well within MaxBodyBytes.
	MaxCommands = 200
	// AttemptCounterBits is the width of the counter below the term in an attempt number. With
	// terms up to 2^33, attempt numbers stay below 2^53.
	AttemptCounterBits = 20
	// RecallSlack is the time after the announced time of a recall at which a machine is presumed
	// gone if it has sent no heartbeat since the recall.
	RecallSlack = time.Second
	// MinRemainingShare is the least fraction of its estimate that a running task is assumed to still
	// need, however long it has run.
	MinRemainingShare = 0.2
	// DrainMargin is the time kept between the end of a task's save and the machine's recall.
	DrainMargin = 2 * time.Second
)

// Scheduling of gangs.
const (
	// GangReservationAge is the time after a gang's submission from which machines are reserved for the
	// gang if it fits nowhere.
	GangReservationAge = 60 * time.Second
	// GangReserveFactor is the capacity reserved for gangs that should start soon, as a multiple of the
	// CPUs that such gangs recently requested at one time. MaxGangReserveShare bounds this capacity as a
	// fraction of all CPUs. GangDemandHalfLife is the half-life of the recorded demand.
	GangReserveFactor   = 1.25
	MaxGangReserveShare = 0.15
	GangDemandHalfLife  = 60 * time.Second
	// GangReserveInterval is the pause between updates of the machines reserved for gangs.
	GangReserveInterval = 500 * time.Millisecond
	// GangCompletionTime plus the time to fetch the image is how long placing and launching the
	// missing tasks of a gang may take: two heartbeats of a slow machine.
	GangCompletionTime = 10 * time.Second
	// GangStopSlack plus 1.25 heartbeat intervals, gang_peer_s and the time to save is how long an
	// owner waits for a gang that was ordered to save and stop. After that, the owner ends the
	// attempt.
	GangStopSlack = 2 * time.Second
)

// The order in which jobs are scheduled.
const (
	// MinRunShare is the fraction of its estimate that a task is assumed to run at least when deciding
	// whether a job can still meet a target.
	MinRunShare = 1.0
	// OverloadHorizon is the backlog from which the load counts as an overload: the time that all
	// machines would need for the work of the jobs that can still meet a target. Under overload,
	// these jobs too are sorted by least remaining work.
	OverloadHorizon = 120 * time.Second
)

// Preemption of resources that a team has borrowed in excess of its guarantee.
const (
	// PreemptInterval is the pause between checks for resources to preempt. The pause delays the start
	// of tasks within their team's guarantee, which may take some seconds.
	PreemptInterval = 500 * time.Millisecond
	// MaxPreemptShare bounds the machines on which one check may preempt tasks: one machine plus this
	// fraction of all machines. Without this bound, tasks that are about to end by themselves would all
	// be stopped.
	MaxPreemptShare = 0.1
	// PreemptSlack plus two heartbeat intervals and the time to save is how long a machine
	// stays reserved at most for the job that waits for its resources.
	PreemptSlack = 3 * time.Second
	// PreemptMinRun is how long a task must have run before it may be preempted: the objectives
	// don't count the start of a task that is stopped sooner.
	PreemptMinRun = 30 * time.Second
)

// Prevention of starvation: even under overload, every job starts within four minutes.
const (
	// StartOverdueAfter is the time after submission from which a job that has not started goes first,
	// with up to MaxOverdueStartTasks tasks. A machine is reserved for the job if it fits nowhere. A
	// fetch, a boot and a long task that must end first fit in the rest of the four minutes.
	StartOverdueAfter    = 120 * time.Second
	MaxOverdueStartTasks = 2
	// MaxReservedShare bounds the machines that may be reserved for overdue jobs: one machine plus this
	// fraction of all machines.
	MaxReservedShare = 0.02
)

// Limits and timeouts of the controller process, its queues and its connections.
const (
	// TickInterval is the interval of the event loop's periodic work.
	TickInterval = 100 * time.Millisecond
	// PauseThreshold is the gap between two events from which this process is assumed to have
	// been paused. Ticks arrive every TickInterval, late on a busy CPU.
	PauseThreshold = time.Second
	// InboxSize bounds the events that wait for the event loop.
	InboxSize = 1024
	// QueryQueueSize bounds the users' queries that wait for the event loop. A query waits up to
	// QueryEnqueueTimeout for room in the queue, and then up to QueryAnswerTimeout for its answer. Users
	// stop waiting after 2 s, so they are asked to try again before that time.
	QueryQueueSize      = 64
	QueryEnqueueTimeout = 300 * time.Millisecond
	QueryAnswerTimeout  = 1600 * time.Millisecond
	// HeapLimitShare is the fraction of ram_mb that the Go heap may take.
	HeapLimitShare = 0.7
	// GCPercent is the garbage collector's target: the growth of the heap, in percent of the
	// live heap, before the next collection. The live heap of an owner of 781 machines is at
	// most 9.9 MB, an eighth of its heap limit on 114 MB, so collections may be four times rarer
	// than with Go's default of 100. Near the heap limit (HeapLimitShare) collections are more
	// frequent.
	GCPercent = 400
	// MaxPeerCalls bounds the calls that wait for one peer.
	MaxPeerCalls = 4
	// PeerTimeout bounds a call between controllers.
	PeerTimeout = time.Second
	// EventLoopTimeout is how long an HTTP handler waits for the event loop.
	EventLoopTimeout = 3500 * time.Millisecond
	// SocketReserveShare is the fraction of max_sockets that users may not use. It is reserved for
	// workers, probes and this node's own connections.
	SocketReserveShare = 0.4
	// UserIdleTimeout or IdleHeartbeats heartbeat intervals, whichever is longer, is the time after
	// which an idle connection of a user or worker is closed. Users poll about every 5 s, and a
	// worker that has sent no heartbeat for two intervals sends the next one on another connection.
	UserIdleTimeout = 20 * time.Second
	IdleHeartbeats  = 2.5
	// ClientIdleTimeout is the time after which this node closes its own idle connections.
	ClientIdleTimeout = 90 * time.Second
	// ResourceCheckInterval is how often a controller reads its heap size, goroutines and
	// connections: reading the runtime's metrics costs microseconds.
	ResourceCheckInterval = time.Second
	// ResourceLogInterval is how often a controller logs its resource use at level info.
	ResourceLogInterval = 30 * time.Second
	// BudgetWarningShare is the fraction of the heap limit or of max_sockets from which a controller
	// warns. Above 60% of max_sockets, users' connections are already not kept open; at the heap limit,
	// the garbage collector runs far more often.
	BudgetWarningShare = 0.85
)
