/** Converts share messages to and from the core's asks and answers. */
import {
	levels,
	type Level,
	type LoanAnswer,
	type LoanAsk,
	type Member,
	type HomeAtLevel,
} from '@kingcuproute/core';
import {type ShareAnswer, type ShareAsk} from '@kingcuproute/mesh';
import {homeName} from './contract-limit.js';
import {type CustomerAsk} from './limit-homes.js';

/** All asks to one home at one level. */
export type ShareBatch = {
	readonly seat: HomeAtLevel<Member>;
	readonly asks: readonly CustomerAsk[];
};

/** Groups asks into one batch for each home and level. */
export function batchesOf(asks: readonly CustomerAsk[]): readonly ShareBatch[] {
	const batches = new Map<
		string,
		{seat: HomeAtLevel<Member>; asks: CustomerAsk[]}
	>();
	for (const each of asks) {
		const name = homeName(each.seat);
		const batch = batches.get(name) ?? {seat: each.seat, asks: []};
		batch.asks.push(each);
		batches.set(name, batch);
	}

	return [...batches.values()];
}

/** The number that stands for a level in messages. */
export function levelNumber(level: Level): number {
	return levels.indexOf(level);
}

/** The level that a number in a message stands for; undefined if there is none. */
export function levelOf(number: number): Level | undefined {
	return levels[number];
}

export function askMessage({customer, ask}: CustomerAsk): ShareAsk {
	const {echo, lent, demand, room, idle, keeps} = ask;
	return {customer, echo, lent, demand, room, idle, keeps};
}

/** The ask in a message sent by `vm`. */
export function askOf(vm: string, message: ShareAsk): LoanAsk {
	const {echo, lent, demand, room, idle, keeps} = message;
	return {
		vm,
		echo: echo ?? undefined,
		lent: lent ?? 0,
		demand: demand ?? 0,
		room: room ?? 0,
		idle: idle ?? false,
		keeps: keeps ?? undefined,
	};
}

export function answerOf({reading, granted, roomy}: ShareAnswer): LoanAnswer {
	return {
		reading: reading ?? 0,
		granted: granted ?? 0,
		roomy: roomy ?? false,
	};
}
