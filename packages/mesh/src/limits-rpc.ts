/** The call with which daemons lend and borrow shares of contracts' limits. */
import {type Rpc} from './rpc.js';
import {limits} from '#generated/limits.js';

export type ShareAsk = limits.IAsk;
export type ShareAnswer = limits.IAnswer;

/** Asks a home for shares of the limits of some contracts. */
export const share: Rpc<limits.IShareRequest, limits.IShareAnswer> = {
	path: '/limits.Limits/Share',
	question: limits.ShareRequest,
	answer: limits.ShareAnswer,
};
