/** Converts the end of an attempt to the outcome that load balancing counts for the server. */
import {
	type AttemptEnd,
	type Millis,
	type Outcome,
	type OutcomeKind,
} from '@kingcuproute/core';

const firstServerErrorStatus = 500;

/** The outcome of an attempt that ended `latencyMs` after it was sent. */
export function outcomeOf(end: AttemptEnd, latencyMs: Millis): Outcome {
	return {kind: kindOf(end), latencyMs};
}

function kindOf(end: AttemptEnd): OutcomeKind {
	switch (end.kind) {
		case 'answered': {
			return end.status >= firstServerErrorStatus ? 'failed' : 'ran';
		}

		case 'declined': {
			return 'shed';
		}

		case 'cancelled': {
			return 'cancelled';
		}

		case 'unsent':
		case 'lost':
		case 'cut': {
			return 'cut';
		}
	}
}
