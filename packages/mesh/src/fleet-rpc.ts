/** The calls with which daemons track the fleet's members and spread objects among them. */
import {type Rpc} from './rpc.js';
import {fleet} from '#generated/fleet.js';

export type MemberMessage = fleet.IMember;
export type AccountMessage = fleet.IAccount;
export type DomainDigestMessage = fleet.IDomainDigest;
export type ObjectMessage = fleet.IHeld;
export type DaemonVersionMessage = fleet.IHolder;
export type TableChangeMessage = fleet.ITableChange;
export type PushMessage = fleet.IPushRequest;
export type PullMessage = fleet.IPullRequest;
export type PageMessage = fleet.IPullAnswer;
export type RumourMessage = fleet.IRumourRequest;
export type VersionReportMessage = fleet.IReportRequest;

/** A heartbeat: each side sends its id. */
export const beat: Rpc<fleet.IBeatRequest, fleet.IBeatAnswer> = {
	path: '/fleet.Fleet/Beat',
	question: fleet.BeatRequest,
	answer: fleet.BeatAnswer,
};

/** Each side sends its own description as a member, with its address. */
export const introduce: Rpc<fleet.IIntroduceRequest, fleet.IIntroduceAnswer> = {
	path: '/fleet.Fleet/Introduce',
	question: fleet.IntroduceRequest,
	answer: fleet.IntroduceAnswer,
};

/** Asks whether the peer can reach a third daemon. */
export const probe: Rpc<fleet.IProbeRequest, fleet.IProbeAnswer> = {
	path: '/fleet.Fleet/Probe',
	question: fleet.ProbeRequest,
	answer: fleet.ProbeAnswer,
};

/** Spreads changes among the members. */
export const rumour: Rpc<fleet.IRumourRequest, fleet.IRumourAnswer> = {
	path: '/fleet.Fleet/Rumour',
	question: fleet.RumourRequest,
	answer: fleet.RumourAnswer,
};

/** Spreads objects. */
export const push: Rpc<fleet.IPushRequest, fleet.IPushAnswer> = {
	path: '/fleet.Fleet/Push',
	question: fleet.PushRequest,
	answer: fleet.PushAnswer,
};

/** Asks a peer for the objects and accounts that the asker lacks, one page at a time. */
export const pull: Rpc<fleet.IPullRequest, fleet.IPullAnswer> = {
	path: '/fleet.Fleet/Pull',
	question: fleet.PullRequest,
	answer: fleet.PullAnswer,
	large: true,
};

/** Reports the version in force to the parent in the tree. */
export const report: Rpc<fleet.IReportRequest, fleet.IReportAnswer> = {
	path: '/fleet.Fleet/Report',
	question: fleet.ReportRequest,
	answer: fleet.ReportAnswer,
};

/** Asks the root of a failure domain for the version in force there. */
export const inForce: Rpc<fleet.IInForceRequest, fleet.IInForceAnswer> = {
	path: '/fleet.Fleet/InForce',
	question: fleet.InForceRequest,
	answer: fleet.InForceAnswer,
};
