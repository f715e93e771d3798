/**
 * Determines which version every live daemon has in force. Each daemon reports to
 * its parent in the tree below the first relay of its domain, so that this relay has
 * a report of the whole domain; a daemon asked about the whole fleet asks those
 * relays. A daemon that does not report, or is out and not proved gone, counts as
 * lagging.
 */
import {
	laggardsBelow,
	mergeReports,
	versionReportOf,
	Clock,
	Random,
	type Cancel,
	type Millis,
	type VersionReport,
} from '@kingcuproute/core';
import {
	inForce,
	Mesh,
	report,
	type DaemonVersionMessage,
	type VersionReportMessage,
} from '@kingcuproute/mesh';
import {inject, singleton} from 'tsyringe';
import {Task} from '../task/task.js';
import {ConfigTask} from './config-task.js';
import {Identity, type Member} from './identity.js';
import {MembershipTask} from './membership-task.js';

const reportMs: Millis = 1000;
const gatherMs: Millis = 30;
const staleMs: Millis = 2500;
const callTimeoutMs: Millis = 500;

type ReceivedReport = {
	readonly report: VersionReport;
	readonly receivedAt: Millis;
};

/** Whether a version is in force on every daemon, and the daemons on which it is not. */
export type InForce = {
	readonly inForce: boolean;
	/** Ids of lagging daemons; their number is bounded. */
	readonly lagging: readonly string[];
};

@singleton()
export class InForceTask extends Task {
	#received: ReadonlyMap<string, ReceivedReport> = new Map();
	#isGathering = false;
	#cancel: Cancel | undefined;
	#stopView: (() => void) | undefined;
	#reportedVersion = 0;

	constructor(
		@inject('Mesh') private readonly mesh: Mesh,
		@inject(ConfigTask) private readonly config: ConfigTask,
		@inject(MembershipTask) private readonly membership: MembershipTask,
		@inject(Identity) private readonly self: Identity,
		@inject('Clock') private readonly clock: Clock,
		@inject('Random') private readonly random: Random,
	) {
		super();
		mesh.serve(report, (message) => {
			this.#handleReport(message);
			return {};
		});
		mesh.serve(inForce, () => messageOf(this.#subtreeReport()));
	}

	override async start(): Promise<void> {
		this.#stopView = this.config.version.subscribe(() => {
			this.#reportSoon();
		});
		this.#scheduleReport();
	}

	override async stop(): Promise<void> {
		this.#stopView?.();
		this.#cancel?.();
	}

	/** Checks `version` on the whole fleet; asks every domain, including this daemon's own. */
	async check(version: number): Promise<InForce> {
		const roster = this.membership.roster();
		const roots = roster.domainNames().map((name) => roster.relays(name)[0]);
		const reports = await Promise.all(
			roots.map(async (root) => this.#ask(root)),
		);
		const outReports = this.membership.membership
			.all()
			.filter(({out}) => out)
			.map(({member}) => versionReportOf({id: member.id, version: 0}));
		const merged = mergeReports([...reports, ...outReports]);
		const lagging = laggardsBelow(merged, version);
		const isComplete = merged.count >= this.membership.members.value.length;
		return {inForce: isComplete && merged.version >= version, lagging};
	}

	async #ask(root: Member): Promise<VersionReport> {
		if (root.id === this.self.id) {
			return this.#subtreeReport();
		}

		const answer = await this.mesh.call(
			root.address,
			inForce,
			{},
			callTimeoutMs,
		);
		return answer
			.map((message) => reportFrom(message))
			.orDefault(versionReportOf({id: root.id, version: 0}));
	}

	#scheduleReport(): void {
		this.#cancel = this.clock.after(this.random.jitter(reportMs), () => {
			this.#scheduleReport();
			this.#report();
		});
	}

	/** Reports a higher version after a short delay, so that the daemons below can report theirs first. */
	#reportSoon(): void {
		if (!this.#isGathering) {
			this.#isGathering = true;
			this.clock.after(gatherMs, () => {
				this.#isGathering = false;
				this.#report();
			});
		}
	}

	#report(): void {
		const parent = this.membership.roster().parent(this.#root(), this.self.id);
		if (parent) {
			const subtreeReport = this.#subtreeReport();
			this.#reportedVersion = subtreeReport.version;
			const message = {from: this.self.id, ...messageOf(subtreeReport)};
			void this.mesh.call(parent.address, report, message, callTimeoutMs);
		}
	}

	#handleReport({from, ...message}: VersionReportMessage): void {
		const received = {
			report: reportFrom(message),
			receivedAt: this.clock.now(),
		};
		this.#received = new Map([...this.#received, [from ?? '', received]]);
		if (this.#subtreeReport().version > this.#reportedVersion) {
			this.#reportSoon();
		}
	}

	/** Report of what this daemon and those below it in the tree have in force. */
	#subtreeReport(): VersionReport {
		const {id} = this.self;
		const children = this.membership
			.roster()
			.children(this.#root(), id, 'domain');
		const childIds = children.map((child) => child.id);
		this.#received = new Map(
			[...this.#received].filter(([from]) => childIds.includes(from)),
		);
		const oldest = this.clock.now() - staleMs;
		const childReports = childIds.map((child) => {
			const received = this.#received.get(child);
			return received && received.receivedAt > oldest
				? received.report
				: versionReportOf({id: child, version: 0});
		});
		const own = versionReportOf({id, version: this.config.version.value});
		return mergeReports([own, ...childReports]);
	}

	#root(): string {
		const [first] = this.membership.roster().relays(this.self.failureDomain);
		return first?.id ?? this.self.id;
	}
}

type InForceMessage = {
	readonly version?: number | null; // eslint-disable-line @typescript-eslint/no-restricted-types
	readonly count?: number | null; // eslint-disable-line @typescript-eslint/no-restricted-types
	readonly laggards?: readonly DaemonVersionMessage[] | null; // eslint-disable-line @typescript-eslint/no-restricted-types
};

function reportFrom({version, count, laggards}: InForceMessage): VersionReport {
	return {
		version: version ?? 0,
		count: count ?? 0,
		laggards: (laggards ?? []).map((holder) => ({
			id: holder.id ?? '',
			version: holder.version ?? 0,
		})),
	};
}

function messageOf({version, count, laggards}: VersionReport) {
	return {version, count, laggards: [...laggards]};
}
