/** Reports in the form in which daemons send them to each other. What can't be read makes the whole message unusable. */
import {
	maxKey,
	type DaemonReport,
	type FleetDemand,
	type MeanRunTime,
	type Millis,
	type ServiceRunTimes,
} from '@kingcuproute/core';
import {
	type DaemonReportMessage,
	type ReportAnswerMessage,
	type RunTimesMessage,
} from '@kingcuproute/mesh';
import {z} from 'zod';

/** Higher than at any site, and small enough that sums of such values stay finite. */
const maxValue = 1e9;
/** More than one daemon observes; bounds what a message can make another hold. */
const maxItems = 10_000;

const value = z.number().nonnegative().max(maxValue);
const age = z.number().nonnegative();
const name = z.string().min(1).max(1000);
const whole = z.number().int().nonnegative();
const names = z.array(name).max(maxItems);
const values = z.array(value).max(maxItems);
const keys = z.array(whole.max(maxKey)).max(maxItems);
const counts = z.array(whole.positive()).max(maxItems);

export function reportMessage(
	{vm, run, seq, at, demand, traffic}: DaemonReport,
	now: Millis,
	isIncluded: (service: string) => boolean,
): DaemonReportMessage {
	return {
		vm,
		run,
		seq,
		ageMs: Math.max(0, now - at),
		customers: [...demand.keys()],
		demand: [...demand.values()],
		traffic: [...traffic]
			.filter(([service]) => isIncluded(service))
			.map(([service, rates]) => ({
				service,
				keys: [...rates.keys()],
				rates: [...rates.values()],
			})),
	};
}

/** `receivedAt` less the age is when the report was made, at the latest. */
export function readReport(
	message: DaemonReportMessage,
	receivedAt: Millis,
): DaemonReport {
	return {
		vm: name.parse(message.vm),
		run: whole.parse(message.run ?? 0),
		seq: whole.parse(message.seq ?? 0),
		at: receivedAt - age.parse(message.ageMs ?? 0),
		demand: paired(
			names.parse(message.customers ?? []),
			values.parse(message.demand ?? []),
		),
		traffic: new Map(
			(message.traffic ?? []).map((traffic) => [
				name.parse(traffic.service),
				paired(
					keys.parse(traffic.keys ?? []),
					values.parse(traffic.rates ?? []),
				),
			]),
		),
	};
}

export function runTimesMessages(times: ServiceRunTimes): RunTimesMessage[] {
	return [...times].map(([service, servers]) => ({
		service,
		servers: [...servers.keys()],
		runMs: [...servers.values()].map(({runMs}) => runMs),
		readings: [...servers.values()].map(({readings}) => readings),
	}));
}

export function readRunTimes(
	messages: readonly RunTimesMessage[],
): ServiceRunTimes {
	return new Map(
		messages.map((message) => {
			const servers = names.parse(message.servers ?? []);
			const runMs = values.parse(message.runMs ?? []);
			const readings = counts.parse(message.readings ?? []);
			const means = runMs.map((ms, index): MeanRunTime => ({
				runMs: ms,
				readings: readings[index] ?? 1,
			}));
			return [name.parse(message.service), paired(servers, means)] as const;
		}),
	);
}

export function demandMessage(
	demand: FleetDemand | undefined,
	now: Millis,
): ReportAnswerMessage {
	return demand
		? {
				customers: [...demand.rates.keys()],
				demand: [...demand.rates.values()],
				daemons: demand.daemons,
				ageMs: Math.max(0, now - demand.at),
			}
		: {};
}

/** Undefined if the answer holds no demand. */
export function readDemand(
	message: ReportAnswerMessage,
	receivedAt: Millis,
): FleetDemand | undefined {
	const daemons = whole.parse(message.daemons ?? 0);
	if (daemons === 0) {
		return undefined;
	}

	const rates = paired(
		names.parse(message.customers ?? []),
		values.parse(message.demand ?? []),
	);
	return {rates, daemons, at: receivedAt - age.parse(message.ageMs ?? 0)};
}

function paired<K, V>(
	left: readonly K[],
	right: readonly V[],
): ReadonlyMap<K, V> {
	if (left.length !== right.length) {
		throw new RangeError(`${left.length} names and ${right.length} values`);
	}

	return new Map(left.map((each, index) => [each, right[index]]));
}
