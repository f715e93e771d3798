/** Handles both cases of an Either in one expression. */
import {type Either} from 'purify-ts';

/** Returns `onLeft` of the error or `onRight` of the value. */
export function fold<L, R, T>(
	either: Either<L, R>,
	onLeft: (error: L) => T,
	onRight: (value: R) => T,
): T {
	return either.isLeft()
		? onLeft(either.extract())
		: onRight(either.extract() as R);
}
