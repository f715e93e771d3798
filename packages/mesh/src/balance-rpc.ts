/** The calls with which the callers of a backend server detect together that it is cold. */
import {type Rpc} from './rpc.js';
import {balance} from '#generated/balance.js';

export type EvidenceMessage = balance.IEvidenceRequest;
export type VerdictMessage = balance.IVerdictRequest;

/** Reports to the home of a server how slow its answers look to one caller. */
export const reportEvidence: Rpc<
	balance.IEvidenceRequest,
	balance.IEvidenceAnswer
> = {
	path: '/balance.Balance/ReportSlowness',
	question: balance.EvidenceRequest,
	answer: balance.EvidenceAnswer,
};

/** Tells a caller of a server that it is cold, or that it has recovered. */
export const sendVerdict: Rpc<balance.IVerdictRequest, balance.IVerdictAnswer> =
	{
		path: '/balance.Balance/JudgeCold',
		question: balance.VerdictRequest,
		answer: balance.VerdictAnswer,
	};
