/** Sums up the reports of days that the users' bench has played. */

/** Less than this part of its requests served, a window counts as unavailable. */
const availableShare = 0.5;
const windowS = 2;

/** The days of a site file, or the quiet ones alone. */
export function dayNames(toml, calm) {
	return toml
		.split(/^\[\[day]]$/m)
		.slice(1)
		.filter((day) => !calm || /^slot = "quiet"$/m.test(day))
		.map((day) => /^name = "(.+)"$/m.exec(day)?.[1])
		.filter((name) => name !== undefined);
}

function total(values) {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return sum;
}

function servedShare({n, in_aim: inTime, late}) {
	return n === 0 ? 1 : (inTime + late) / n;
}

function priced(report, what) {
	return report.prices.find(([name]) => name === what)?.[1] ?? 0;
}

/** How long too few requests were served, in seconds. */
function unavailableS({windows}) {
	return (
		windows.filter((one) => servedShare(one) < availableShare).length * windowS
	);
}

/** One day, as a line. */
export function lineOf({name, seed, score, report}) {
	const rules = Object.entries(report.breaks).map(
		([rule, times]) => `${rule} ${times}`,
	);
	return [
		name,
		seed === undefined ? 'own seed' : `seed ${seed}`,
		`score ${score ?? 'none'}`,
		`worth ${report.G}`,
		`served ${report.served}`,
		`refused ${report.refused}`,
		`failed ${report.failed}`,
		`unavailable ${unavailableS(report)} s`,
		rules.length === 0 ? 'no rule broken' : `broken: ${rules.join(', ')}`,
	].join('  ');
}

function mean(values) {
	return values.length === 0 ? 0 : total(values) / values.length;
}

function most(values) {
	return values.length === 0 ? 0 : Math.max(...values);
}

/** What all days say together. */
export function summaryOf(days) {
	const reports = days.map(({report}) => report);
	const refusals = {};
	for (const [reason, times] of days.flatMap((day) =>
		Object.entries(day.refusals),
	)) {
		refusals[reason] = (refusals[reason] ?? 0) + times;
	}

	const classes = reports.flatMap((report) => report.classes);
	const services = reports.flatMap((report) => report.services);
	const nodes = reports.flatMap((report) => report.nodes);
	const of = (items, key, name) => items.filter((item) => item[key] === name);
	const names = (items, key) => [...new Set(items.map((item) => item[key]))];
	return {
		days: days.length,
		broken: [
			...new Set(reports.flatMap(({breaks}) => Object.keys(breaks))),
		].sort(),
		score: mean(days.map(({score}) => score ?? 0)),
		worth: mean(reports.map(({G: worth}) => worth)),
		unavailableS: total(reports.map((report) => unavailableS(report))),
		keysMoved: mean(
			reports.map((report) => priced(report, 'times all keys moved')),
		),
		storeCalls: mean(reports.map((report) => priced(report, 'cloud calls'))),
		exits: total(reports.map(({exits_n: exits}) => exits)),
		refusals,
		classes: names(classes, 'name').map((name) => ({
			name,
			worth: mean(of(classes, 'name', name).map(({worth}) => worth)),
			p50Ms: mean(of(classes, 'name', name).map((one) => one.p50_ms)),
			p99Ms: mean(of(classes, 'name', name).map((one) => one.p99_ms)),
		})),
		services: names(services, 'name').map((name) => ({
			name,
			imbalance: mean(of(services, 'name', name).map((one) => one.busiest_x)),
		})),
		processes: names(nodes, 'role').map((role) => ({
			role,
			cpuMean: mean(of(nodes, 'role', role).map((one) => one.cpu_mean)),
			cpuPeak: most(of(nodes, 'role', role).map((one) => one.cpu_peak)),
			memoryPeakMb: most(of(nodes, 'role', role).map((one) => one.mem_peak_mb)),
		})),
	};
}

/** The summary, for people. */
export function textOf(summary) {
	const shown = (value) => Number(value.toFixed(3));
	const refusals = Object.entries(summary.refusals)
		.sort(([, a], [, b]) => b - a)
		.map(([reason, times]) => `${reason} ${times}`);
	return [
		`${summary.days} days; rules broken: ${summary.broken.join(' ') || 'none'}`,
		`mean score ${shown(summary.score)}, worth ${shown(summary.worth)}; ${summary.unavailableS} s unavailable`,
		`a day: all keys moved ${shown(summary.keysMoved)} times, ${shown(summary.storeCalls)} store calls; ${summary.exits} exits of our own`,
		`refused: ${refusals.join(', ') || 'none'}`,
		...summary.classes.map(
			({name, worth, p50Ms, p99Ms}) =>
				`  ${name}: worth ${shown(worth)}, p50 ${shown(p50Ms)} ms, p99 ${shown(p99Ms)} ms`,
		),
		...summary.services.map(
			({name, imbalance}) =>
				`  ${name}: busiest server ${shown(imbalance)} times the mean`,
		),
		...summary.processes.map(
			({role, cpuMean, cpuPeak, memoryPeakMb}) =>
				`  ${role}: ${shown(cpuMean)} cores, ${shown(cpuPeak)} at most, ${shown(memoryPeakMb)} MB at most`,
		),
		'',
	].join('\n');
}
