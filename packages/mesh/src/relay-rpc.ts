/** The calls by which a daemon follows the platform's store through a peer that follows it by itself. */
import {type Rpc} from './rpc.js';
import {relay} from '#generated/relay.js';

export type FollowMessage = relay.IFollowRequest;
export type InterestMessage = relay.IInterest;
export type HeldObjectMessage = relay.IHeldObject;
export type FollowAnswerMessage = relay.IFollowAnswer;
export type KindReadingMessage = relay.IKindReading;
export type RelayedChangeMessage = relay.IChange;
export type RelayListMessage = relay.IListRequest;
export type DaemonReportMessage = relay.IDaemonReport;
export type RunTimesMessage = relay.IServiceRunTimes;
export type ReportMessage = relay.IReportRequest;
export type ReportAnswerMessage = relay.IReportAnswer;
export const relayStanding = relay.Standing;

/** Waits for changes of several kinds of object together. */
export const follow: Rpc<relay.IFollowRequest, relay.IFollowAnswer> = {
	path: '/relay.Relay/Follow',
	question: relay.FollowRequest,
	answer: relay.FollowAnswer,
};

/** Asks for all objects of a kind. */
export const listKind: Rpc<relay.IListRequest, relay.IFollowAnswer> = {
	path: '/relay.Relay/List',
	question: relay.ListRequest,
	answer: relay.FollowAnswer,
	large: true,
};

/** Reports what daemons have observed. */
export const reportObserved: Rpc<relay.IReportRequest, relay.IReportAnswer> = {
	path: '/relay.Relay/Report',
	question: relay.ReportRequest,
	answer: relay.ReportAnswer,
	large: true,
};
