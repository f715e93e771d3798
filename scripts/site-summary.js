/** Summarizes the reports of the days that the users' bench has run. */

/** A window counts as unavailable if less than this share of its requests was served. */
const availableShare = 0.5;
const windowS = 2;

/** The names of the days in a site file, or only of the quiet ones. */
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

function priceOf(report, what) {
	return report.prices.find(([name]) => name === what)?.[1] ?? 0;
}

/** How long too small a share of requests was served, in seconds. */
function unavailableS({windows}) {
	return (
		windows.filter((window) => servedShare(window) < availableShare).length *
		windowS
	);
}

/** The report of one day as a line of text. */
export function dayLine({name, seed, score, report}) {
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

function maximum(values) {
	return values.length === 0 ? 0 : Math.max(...values);
}

/** The summary of all days. */
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
	const itemsOf = (items, key, name) =>
		items.filter((item) => item[key] === name);
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
			reports.map((report) => priceOf(report, 'times all keys moved')),
		),
		storeCalls: mean(reports.map((report) => priceOf(report, 'cloud calls'))),
		exits: total(reports.map(({exits_n: exits}) => exits)),
		refusals,
		classes: names(classes, 'name').map((name) => ({
			name,
			worth: mean(itemsOf(classes, 'name', name).map(({worth}) => worth)),
			p50Ms: mean(itemsOf(classes, 'name', name).map((item) => item.p50_ms)),
			p99Ms: mean(itemsOf(classes, 'name', name).map((item) => item.p99_ms)),
		})),
		services: names(services, 'name').map((name) => ({
			name,
			imbalance: mean(
				itemsOf(services, 'name', name).map((item) => item.busiest_x),
			),
		})),
		processes: names(nodes, 'role').map((role) => ({
			role,
			cpuMean: mean(itemsOf(nodes, 'role', role).map((item) => item.cpu_mean)),
			cpuPeak: maximum(
				itemsOf(nodes, 'role', role).map((item) => item.cpu_peak),
			),
			memoryPeakMb: maximum(
				itemsOf(nodes, 'role', role).map((item) => item.mem_peak_mb),
			),
		})),
	};
}

/** The summary as text. */
export function summaryText(summary) {
	const rounded = (value) => Number(value.toFixed(3));
	const refusals = Object.entries(summary.refusals)
		.sort(([, a], [, b]) => b - a)
		.map(([reason, times]) => `${reason} ${times}`);
	return [
		`${summary.days} days; rules broken: ${summary.broken.join(' ') || 'none'}`,
		`mean score ${rounded(summary.score)}, worth ${rounded(summary.worth)}; ${summary.unavailableS} s unavailable`,
		`a day: all keys moved ${rounded(summary.keysMoved)} times, ${rounded(summary.storeCalls)} store calls; ${summary.exits} exits of our own`,
		`refused: ${refusals.join(', ') || 'none'}`,
		...summary.classes.map(
			({name, worth, p50Ms, p99Ms}) =>
				`  ${name}: worth ${rounded(worth)}, p50 ${rounded(p50Ms)} ms, p99 ${rounded(p99Ms)} ms`,
		),
		...summary.services.map(
			({name, imbalance}) =>
				`  ${name}: busiest server ${rounded(imbalance)} times the mean`,
		),
		...summary.processes.map(
			({role, cpuMean, cpuPeak, memoryPeakMb}) =>
				`  ${role}: ${rounded(cpuMean)} cores, ${rounded(cpuPeak)} at most, ${rounded(memoryPeakMb)} MB at most`,
		),
		'',
	].join('\n');
}
