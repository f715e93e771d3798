/** The calls with which daemons share idempotency keys and quarantine. */
import {type Rpc} from './rpc.js';
import {requests} from '#generated/requests.js';

export type PartTermMessage = requests.IPartTerm;
export type CrashReport = requests.ICrashRequest;
export type CondemnedMessage = requests.ICondemned;

/** Asks the holder of a key to let one attempt with it run. */
export const claim: Rpc<requests.IClaimRequest, requests.IClaimAnswer> = {
	path: '/requests.Requests/Claim',
	question: requests.ClaimRequest,
	answer: requests.ClaimAnswer,
};

/** Tells the holder that an attempt is proved not to have run. */
export const release: Rpc<requests.IReleaseRequest, requests.IReleaseAnswer> = {
	path: '/requests.Requests/Release',
	question: requests.ReleaseRequest,
	answer: requests.ReleaseAnswer,
};

/** Asks the successor of key parts for the right to grant. */
export const lend: Rpc<requests.ILendRequest, requests.ILendAnswer> = {
	path: '/requests.Requests/Lend',
	question: requests.LendRequest,
	answer: requests.LendAnswer,
};

/** Sends the records of key parts to their next holder. */
export const handOn: Rpc<requests.IHandOnRequest, requests.IHandOnAnswer> = {
	path: '/requests.Requests/HandOn',
	question: requests.HandOnRequest,
	answer: requests.HandOnAnswer,
};

/** Tells a peer which fingerprints to refuse. */
export const condemn: Rpc<requests.ICondemnRequest, requests.ICondemnAnswer> = {
	path: '/requests.Requests/Condemn',
	question: requests.CondemnRequest,
	answer: requests.CondemnAnswer,
};

/** Tells the judge of a service which requests were in flight at a server that crashed. */
export const reportCrash: Rpc<requests.ICrashRequest, requests.ICrashAnswer> = {
	path: '/requests.Requests/ReportCrash',
	question: requests.CrashRequest,
	answer: requests.CrashAnswer,
};
