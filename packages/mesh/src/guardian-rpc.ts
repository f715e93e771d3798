/** The calls between the guardians and successors of backend servers. */
import {type Rpc} from './rpc.js';
import {guardian} from '#generated/guardian.js';

export type ChargeMessage = guardian.ICharge;
export type PlannedRowMessage = guardian.IPlannedRow;
export type ReleaseMessage = guardian.IReleaseRequest;
export type ReleaseAnswerMessage = guardian.IReleaseAnswer;

/** A guardian's heartbeat, which also asks whether its successor is ready. */
export const guardBeat: Rpc<guardian.IBeatRequest, guardian.IBeatAnswer> = {
	path: '/guardian.Guardian/Beat',
	question: guardian.BeatRequest,
	answer: guardian.BeatAnswer,
};

/** Asks a daemon to promise that it orders a server nothing any more. */
export const release: Rpc<ReleaseMessage, ReleaseAnswerMessage> = {
	path: '/guardian.Guardian/Release',
	question: guardian.ReleaseRequest,
	answer: guardian.ReleaseAnswer,
	large: true,
};
