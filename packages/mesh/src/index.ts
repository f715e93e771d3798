export {Mesh, type Handler} from './mesh.js';
export {GrpcMesh, type MessageObserver} from './grpc-mesh.js';
export {type MeshError} from './mesh-error.js';
export {type Codec, type Rpc} from './rpc.js';
export {
	claim,
	condemn,
	handOn,
	lend,
	reportCrash,
	release as releaseKey,
	type CondemnedMessage,
	type CrashReport,
	type PartTermMessage,
} from './requests-rpc.js';
export {
	beat,
	inForce,
	introduce,
	probe,
	pull,
	push,
	report,
	rumour,
	type AccountMessage,
	type DomainDigestMessage,
	type ObjectMessage,
	type DaemonVersionMessage,
	type MemberMessage,
	type PageMessage,
	type PullMessage,
	type PushMessage,
	type VersionReportMessage,
	type RumourMessage,
	type TableChangeMessage,
} from './fleet-rpc.js';
export {
	guardBeat,
	release,
	type ChargeMessage,
	type PlannedRowMessage,
	type ReleaseAnswerMessage,
	type ReleaseMessage,
} from './guardian-rpc.js';
export {reportLoad, type LoadMessage} from './placement-rpc.js';
export {share, type ShareAnswer, type ShareAsk} from './limits-rpc.js';
export {
	sendVerdict,
	reportEvidence,
	type EvidenceMessage,
	type VerdictMessage,
} from './balance-rpc.js';
export {
	follow,
	listKind,
	relayStanding,
	reportObserved,
	type DaemonReportMessage,
	type ReportAnswerMessage,
	type ReportMessage,
	type RunTimesMessage,
	type FollowAnswerMessage,
	type FollowMessage,
	type HeldObjectMessage,
	type InterestMessage,
	type KindReadingMessage,
	type RelayedChangeMessage,
	type RelayListMessage,
} from './relay-rpc.js';
