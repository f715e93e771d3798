export {fold} from './result/fold.js';
export {Clock, type Cancel, type Millis} from './time/clock.js';
export {Random, SeededRandom} from './chance/random.js';
export {hash32, hash64, hashBytes, rendezvous} from './chance/hash.js';
export {
	kinds,
	kindSchemas,
	type Kind,
	type KindValue,
} from './config/config-object.js';
export {type Contract} from './config/contract.js';
export {type Service} from './config/service.js';
export {type BackendServer} from './config/backend-server.js';
export {type FailureDomain} from './config/failure-domain.js';
export {type Vm} from './config/vm.js';
export {
	settingDifferences,
	type CommonSettings,
	type SettingDifference,
} from './config/common-settings.js';
export {View, type VersionedObject} from './config/view.js';
export {validate, type Validated, type Fault} from './config/fault.js';
export {sliceOf} from './ownership/slice.js';
export {
	applyHotChange,
	hotChanges,
	hotRows,
	rowIndexOf,
	sliceCount,
	type HotChange,
} from './ownership/hot-keys.js';
export {
	sliceTableSchema,
	type Guard,
	type HotKey,
	type SliceRow,
	type SliceTable,
} from './ownership/slice-table.js';
export {
	diffTables,
	tableChangeSchema,
	applyTableChange,
	type TableChange,
} from './ownership/table-change.js';
export {type Ran, type Reason, type Refusal} from './requests/refusal.js';
export {BufferBudget, BufferLease} from './requests/buffer-budget.js';
export {isIdempotent} from './requests/method.js';
export {
	orderSchema,
	serverStateSchema,
	type Grant,
	type Order,
	type ServerState,
} from './ownership/order.js';
export {type Succession} from './ownership/succession.js';
export {tableInForce} from './ownership/table-in-force.js';
export {type Timing} from './ownership/guardian/timing.js';
export {applyEdit, type TableEdit} from './ownership/guardian/table-edit.js';
export {
	initialGuardian,
	type GuardianState,
	type Peers,
	type Standing,
} from './ownership/guardian/guardian-state.js';
export {
	applyEvent,
	type GuardianEvent,
} from './ownership/guardian/guardian-event.js';
export {type GuardianAction} from './ownership/guardian/guardian-action.js';
export {decide} from './ownership/guardian/decide.js';
export {
	answerReleaseRequest,
	type ReleaseAnswer,
	type ReleaseRequest,
} from './ownership/guardian/release.js';
export {lend, type LoanRequest} from './ownership/guardian/lend.js';
export {
	statusOf,
	type GuardianStatus,
} from './ownership/guardian/guardian-status.js';
export {standingOf} from './ownership/guardian/standing-of.js';
export {
	fanOut,
	Roster,
	type RosterMember,
	type NewsScope,
} from './fleet/roster.js';
export {
	isStored,
	Replica,
	type PullResult,
	type VersionRange,
} from './fleet/replica.js';
export {
	dutiesOf,
	type Duties,
	type DutyReason,
	type DutyInputs,
} from './fleet/duties.js';
export {
	initialAccount,
	Membership,
	type Account,
	type DomainDigest,
	type Member,
} from './fleet/membership.js';
export {
	laggardsBelow,
	mergeReports,
	versionReportOf,
	type DaemonVersion,
	type VersionReport,
} from './fleet/report.js';
export {type DaemonRun} from './placement/daemon-run.js';
export {
	absenceMs,
	maxHotRows,
	defaultPlacementPolicy,
	type PlacementPolicy,
} from './placement/policy.js';
export {type Situation} from './placement/situation.js';
export {type Change} from './placement/change.js';
export {
	initialPlannerState,
	plan,
	planInParts,
	type Plan,
	type PlannerState,
} from './placement/plan.js';
export {sliceWeights} from './placement/slice-weights.js';
export {rowWeights} from './placement/row-weights.js';
export {HeavyKeys, maxHeavyKeys, maxHotKeyLen} from './placement/heavy-keys.js';
export {thresholdSample} from './placement/key-sample.js';
export {LoadWindow, loadFadeMs} from './placement/load-window.js';
export {
	heaviestSlicesReport,
	loadReport,
	type RequestCounts,
	type LoadReport,
} from './placement/load-report.js';
export {ranAfter, type AttemptEnd, type Lost} from './requests/attempt-end.js';
export {
	RetryState,
	type Retry,
	type Refuse,
	type Step,
} from './requests/retry-state.js';
export {
	decisiveAttempt,
	hedgeDelayMs,
	type HedgeConditions,
} from './requests/hedging.js';
export {RetryBudget, type RetryBudgetOptions} from './requests/retry-budget.js';
export {
	forwardedHeaders,
	headerFault,
	type RawHeaders,
} from './requests/forwarded-headers.js';
export {
	checkAnswer,
	type AnswerHead,
	type AnswerHeaders,
	type AnswerVerdict,
} from './requests/answer-head.js';
export {deadlineField, deadlineOf} from './requests/deadline.js';
export {
	attemptCandidates,
	type AttemptConditions,
} from './requests/attempt-candidates.js';
export {preferUntried} from './requests/untried.js';
export {
	keyPartCount,
	keyTableName,
	partOf,
	partsGivenUp,
	withTransferredRecords,
	type KeyRow,
	type KeyTable,
} from './requests/keys/key-table.js';
export {mintedAt} from './requests/keys/minted.js';
export {
	KeyRecords,
	type Claim,
	type KeyRecord,
	type KeyRecordsOptions,
	type ClaimVerdict,
} from './requests/keys/key-records.js';
export {
	initialKeyTable,
	KeyTenure,
	type KeyDaemon,
	type KeyPlanContext,
	type PartTerm,
} from './requests/keys/key-tenure.js';
export {fingerprintOf} from './requests/quarantine/fingerprint.js';
export {
	CrashJudge,
	type CrashJudgeOptions,
	type CrashVerdict,
} from './requests/quarantine/crash-judge.js';
export {ExpiringSet} from './requests/quarantine/expiring-set.js';
export {type PoolRequest} from './balance/pool-request.js';
export {type Outcome, type OutcomeKind} from './balance/outcome.js';
export {balancePolicy, type BalancePolicy} from './balance/policy.js';
export {Balancer, type Candidate} from './balance/balancer.js';
export {RoundRobin} from './balance/round-robin.js';
export {LeastInFlight} from './balance/least-in-flight.js';
export {TwoChoices} from './balance/two-choices.js';
export {type Gauge} from './balance/gauge.js';
export {type Evidence, type ColdVerdict} from './balance/slowness.js';
export {ColdDetector} from './balance/cold-detector.js';
export {Gauges, type ServerReport} from './balance/gauges.js';
export {shareOf, totalAllowance, type CallerRank} from './balance/allowance.js';
export {callersOf, subsetOf, type Subset} from './balance/subset.js';
export {Hedge} from './balance/hedge.js';
export {FairQueue, type QueueItem} from './balance/fair-queue.js';
export {Pool, type Decision} from './balance/pool.js';
export {type Notice, type RampCause} from './balance/notice.js';
export {type LoanAnswer, type LoanAsk} from './limits/loan-ask.js';
export {Ledger, type ParentLoan, type LedgerTotals} from './limits/ledger.js';
export {
	levels,
	levelTermsOf,
	longestPromiseMs,
	type Level,
	type LevelTerms,
} from './limits/levels.js';
export {
	initialDaemonCount,
	ownShare,
	withDaemonCount,
	type DaemonCount,
} from './limits/own-share.js';
export {DomainHome, type FleetAsk} from './limits/domain-home.js';
export {
	askIntervalMs,
	Homes,
	mayHaveBeenLarge,
	type HomeAtLevel,
} from './limits/homes.js';
export {
	withAnswer,
	nextAsk,
	initialLoan,
	shouldAsk,
	withShareReserved,
	withHome,
	usableShare,
	type ReceivedAnswer,
	type Loan,
} from './limits/loan.js';
export {
	demandMeasured,
	fullMeter,
	isUnused,
	offered,
	released,
	type Meter,
} from './limits/meter.js';
export {defaultLoanTerms, type LoanTerms} from './limits/terms.js';
export {waterFill} from './limits/water-fill.js';
export {
	isHeldBy,
	laterTable,
	maxKey,
	ownerKeyOf,
	rangeOf,
	rangesByOwner,
	type KeyRange,
	type RangeTable,
} from './gateway/key-range.js';
export {
	applyMoves,
	joinRanges,
	planKeyMoves,
	withNewFences,
	withoutAll,
	withoutKeys,
	type KeyMove,
} from './gateway/key-plan.js';
export {
	GrantLedger,
	type FencedKeys,
	type SentGrant,
} from './gateway/grant-ledger.js';
export {
	KeyRecorder,
	totalTraffic,
	type KeyTraffic,
} from './gateway/key-traffic.js';
export {
	isReportDue,
	reportExpiryMs,
	reportIntervalMs,
	type SentReport,
	type ServiceRates,
} from './gateway/report-plan.js';
export {partitionPoint} from './gateway/partition-point.js';
export {keyLoads, type KeyLoads} from './gateway/key-loads.js';
export {planLoadMoves, type LoadPlanBounds} from './gateway/load-plan.js';
export {planTidyMoves} from './gateway/tidy-plan.js';
export {timelyRate, timelyRates} from './gateway/timely-rate.js';
export {MoveBudget, movedKeysShare} from './gateway/move-budget.js';
export {serviceTarget} from './gateway/service-target.js';
export {chooseStandbys, type RegisteredDaemon} from './gateway/standbys.js';
export {
	choosePeers,
	chooseWatchers,
	hasWatchers,
	type PeerEntry,
	type Watcher,
} from './gateway/watchers.js';
export {
	KindHistory,
	type HistoryChanges,
	type Revised,
} from './gateway/kind-history.js';
export {
	ReportBoard,
	reportLifeMs,
	type DaemonReport,
	type FleetDemand,
	type MeanRunTime,
	type ServiceRunTimes,
} from './gateway/report-board.js';
export {
	eraOf,
	firstEra,
	firstFenceOf,
	maxEra,
	numberOf,
	revisionIn,
	revisionText,
	type StoreEra,
} from './gateway/store-era.js';
export {KindPosition} from './gateway/kind-position.js';
export {PeerStanding, type PeerFault} from './gateway/peer-standing.js';
export {RetryAllowance, type RetryBounds} from './gateway/retry-allowance.js';
export {CrashLosses} from './gateway/crash-losses.js';
export {CrashReports, type CrashEvent} from './gateway/crash-reports.js';
export {StoreAbsence} from './gateway/store-absence.js';
export {LapseHold} from './gateway/lapse-hold.js';
export {LeavingServers} from './gateway/leaving-servers.js';
export {ServerHolds} from './gateway/server-holds.js';
export {runKeyOf, type ServerRun} from './gateway/server-run.js';
export {
	chooseCandidates,
	type Candidates,
	type CandidateRules,
} from './gateway/choose-candidates.js';
export {serversByService, type ListedServer} from './gateway/listed-server.js';
export {
	identifyCaller,
	type CallerIdentity,
	type KeyFault,
} from './gateway/caller-identity.js';
export {
	type CallerLimits,
	type Customer,
	type RoutePart,
	type Repeatability,
	type RoutedService,
	type RouteRule,
	type RoutingConfig,
} from './gateway/route-rule.js';
export {CustomerQuota, type QuotaRefusal} from './gateway/customer-quota.js';
export {
	windowBound,
	type Quota,
	type QuotaBounds,
} from './gateway/quota-flow.js';
export {type ReportedDemand} from './gateway/reported-demand.js';
export {mayStartBehind} from './gateway/pipeline.js';
export {takesRequest, type StopPlan} from './gateway/stop-plan.js';
export {drawService, RouteTable} from './gateway/route-table.js';
export {
	maxLoad,
	ServerLoads,
	type Occupancy,
	type SendOutcome,
} from './gateway/server-loads.js';
export {
	AnswerLengths,
	crossingCharge,
	defaultMsPerKb,
	type DomainCrossing,
	type Transfer,
} from './gateway/domain-crossing.js';
export {SteadyTraffic} from './gateway/steady-traffic.js';
export {ServerIndex, type ServerSample} from './gateway/server-index.js';
export {
	admission,
	isLate,
	latestStart,
	withoutRank,
	type AdmissionAsk,
	type ServerRoom,
	type Verdict,
} from './gateway/admission.js';
export {AdmissionQueue, leavesAt} from './gateway/admission-queue.js';
export {ExpectedWork, type ExpectedRoute} from './gateway/expected-work.js';
export {PriorityRanks, type PriorityRank} from './gateway/priority-ranks.js';
export {maxQueueLoad, QueueLimits} from './gateway/queue-limits.js';
export {
	ArrivalOrder,
	CallerCostOrder,
	CostPerWorkOrder,
	DeadlineOrder,
	QueueOrder,
	type WaitingRequest,
} from './gateway/queue-order.js';
export {RetryPace, type RetryProspect} from './gateway/retry-pace.js';
export {AnswerDelay} from './gateway/answer-delay.js';
export {CheckPace} from './gateway/check-pace.js';
export {connectionShare} from './gateway/connection-share.js';
export {FleetSize} from './gateway/fleet-size.js';
export {ColdTokens, type ColdBounds} from './gateway/cold-tokens.js';
export {
	ServerWarmth,
	type Warmth,
	type WarmthChange,
} from './gateway/server-warmth.js';
