/** Settings of placement. */
import {
	loadFadeMs,
	maxHotRows,
	defaultPlacementPolicy,
} from '@kingcuproute/core';
import {z} from 'zod';

const share = z.number().positive().max(1);

export const placementSettings = z
	.strictObject({
		/** Interval at which the planner checks for changes to make, in ms. */
		planMs: z.number().int().min(50).max(60_000).default(300),
		/** Interval at which load is reported to the planner, in ms; longer in a large fleet. */
		reportMs: z.number().int().min(100).max(600_000).default(2000),
		/** Difference from a server's target at which balancing starts. */
		startShare: share.default(defaultPlacementPolicy.startShare),
		/** Difference from every server's target at which balancing ends. */
		stopShare: share.default(defaultPlacementPolicy.stopShare),
		/** Limit on the slices moved for balance, per second and service. */
		movesPerSecond: z
			.number()
			.positive()
			.max(1000)
			.default(defaultPlacementPolicy.movesPerSecond),
		/** Limit on the moves for balance made at once after a time without moves. */
		moveBurst: z
			.number()
			.int()
			.positive()
			.max(1000)
			.default(defaultPlacementPolicy.moveBurst),
		/** Time in which the weight of a counted request decays to 1 / e at the planner, in ms. */
		fadeMs: z.number().int().min(500).max(600_000).default(loadFadeMs),
		/** Limit on the keys that have rows of their own, per service. */
		hotRows: z
			.number()
			.int()
			.min(0)
			.max(maxHotRows)
			.default(defaultPlacementPolicy.hotRows),
	})
	.prefault({});
