/**
 * The protocol that the simulation runs: the decisions of the core and their
 * durations. Tests replace parts by wrong variants to show that the checks detect them.
 */
import {
	answerReleaseRequest,
	decide,
	lend,
	type Timing,
} from '../../src/index.js';

export type Protocol = {
	readonly timing: Timing;
	readonly decide: typeof decide;
	readonly lend: typeof lend;
	readonly answerRelease: typeof answerReleaseRequest;
	/** Whether servers refuse orders past their `validUntil`. */
	readonly refusesLate: boolean;
};

export const timing: Timing = {
	leaseMs: 1000,
	renewMs: 250,
	marginMs: 20,
	validMs: 600,
	silenceMs: 450,
	loanMs: 600,
};

export const protocol: Protocol = {
	timing,
	decide,
	lend,
	answerRelease: answerReleaseRequest,
	refusesLate: true,
};
