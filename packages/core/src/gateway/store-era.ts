/**
 * Revisions of the platform's store, and fencing tokens, in one order over all eras of the
 * store. A store that is restored from a copy enters a new era: its revisions go back to the
 * copy's, and those given out since are given out again, for other changes. The store says
 * with each answer in which era it is. The daemon puts the era before each revision it reads,
 * so that any comparison of two revisions also compares their eras.
 */
import {type Millis} from '../time/clock.js';

/** Counted by the store in each era from the start again, or from the copy on. */
const numbersPerEra = 2 ** 40;
/** All revisions and fencing tokens are below 2 ** 52, and so exact. */
export const maxEra = 2 ** 12 - 1;
/** A store that has not been restored is in this era, or names none, which counts as 0. */
export const firstEra = 1;

export type StoreEra = {
	readonly number: number;
	/** When this daemon first heard of it. */
	readonly since: Millis;
	/** Whether no era came before it, as far as is known. */
	readonly isFirst: boolean;
};

/** The revision that the store calls `number` in `era`; undefined if it is out of range. */
export function revisionIn(era: number, number: number): number | undefined {
	return isCount(era, maxEra + 1) && isCount(number, numbersPerEra)
		? era * numbersPerEra + number
		: undefined;
}

export function eraOf(revision: number): number {
	return Math.floor(revision / numbersPerEra);
}

/** What the store calls the revision. */
export function numberOf(revision: number): number {
	return revision % numbersPerEra;
}

/** The revision as in log lines: what the store calls it, after the era if the store names eras. */
export function revisionText(revision: number | undefined): string | undefined {
	if (revision === undefined) {
		return undefined;
	}

	const era = eraOf(revision);
	return era === 0 ? `${revision}` : `${era}.${numberOf(revision)}`;
}

/** A fencing token that is higher than all of former eras, also than those that a copy does not show. */
export function firstFenceOf(era: number): number {
	return Math.max(1, era * numbersPerEra);
}

function isCount(value: number, end: number): boolean {
	return Number.isInteger(value) && value >= 0 && value < end;
}
