/**
 * Summarises which version is in force at a set of daemons: how many daemons there
 * are, the lowest version among them, and which daemons lag furthest behind. Reports
 * of subsets merge into one of the union and stay small.
 */

const maxLaggards = 8;

/** The version in force at one daemon. */
export type DaemonVersion = {readonly id: string; readonly version: number};

export type VersionReport = {
	/** The lowest version in force; 0 for no daemons at all. */
	readonly version: number;
	readonly count: number;
	/** The daemons with the lowest versions, lowest first; at most `maxLaggards`. */
	readonly laggards: readonly DaemonVersion[];
};

/** The report of one daemon. */
export function versionReportOf(daemon: DaemonVersion): VersionReport {
	return {version: daemon.version, count: 1, laggards: [daemon]};
}

/** Merges the reports of disjoint sets of daemons. */
export function mergeReports(parts: readonly VersionReport[]): VersionReport {
	const laggards = parts
		.flatMap((part) => part.laggards)
		.toSorted((a, b) => a.version - b.version || (a.id < b.id ? -1 : 1))
		.slice(0, maxLaggards);
	return {
		version: Math.min(...parts.map(({version}) => version)),
		count: parts.reduce((sum, {count}) => sum + count, 0),
		laggards,
	};
}

/** Ids of reported laggards that do not have `version` in force yet; empty once all daemons have it. */
export function laggardsBelow(
	report: VersionReport,
	version: number,
): readonly string[] {
	return report.laggards
		.filter((daemon) => daemon.version < version)
		.map(({id}) => id);
}
