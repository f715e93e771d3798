/**
 * The membership of the fleet: accounts of all daemons, merged from messages of
 * peers, from introductions and from the results of the ring watch. News is sent
 * down the tree; later digests repair what a lost message left out.
 */
import {
	Clock,
	initialAccount,
	Membership,
	Random,
	Roster,
	type Account,
	type Member,
	type Millis,
} from '@kingcuproute/core';
import {introduce, Mesh, rumour, type RumourMessage} from '@kingcuproute/mesh';
import {inject, singleton} from 'tsyringe';
import {Log} from '../log/log.js';
import {type Settings} from '../settings/settings.js';
import {Task} from '../task/task.js';
import {Topic} from '../task/topic.js';
import {Identity} from './identity.js';
import {
	accountMessage,
	accountsOf,
	memberMessage,
	memberOf,
} from './messages.js';
import {RingWatch} from './ring-watch.js';

const callTimeoutMs: Millis = 500;
const maxLoggedIds = 10;

/** Keeps the list of live daemons, this one included. */
@singleton()
export class MembershipTask extends Task {
	/** Live daemons, in order of id. */
	readonly members = new Topic<readonly Member[]>([]);
	/** Ids of live daemons whose VMs the platform lists as leaving. */
	readonly leaving = new Topic<ReadonlySet<string>>(new Set());
	/** Number of daemons that are not proved gone, including this one. */
	readonly knownCount = new Topic(1);
	/** Ids of daemon runs proved gone. */
	readonly gone = new Topic<ReadonlySet<string>>(new Set());
	#membership = Membership.empty;
	#roster = Roster.of<Member>([]);
	readonly #watch: RingWatch;
	#stopped = false;

	constructor(
		@inject('Mesh') private readonly mesh: Mesh,
		@inject(Identity) private readonly self: Identity,
		@inject('Settings') private readonly settings: Settings,
		@inject('Clock') clock: Clock,
		@inject('Random') random: Random,
		@inject(Log) private readonly log: Log,
	) {
		super();
		this.#watch = new RingWatch({
			self: self.id,
			mesh,
			clock,
			random,
			log,
			settings: settings.fleet,
			setOut: (id, out, why) => {
				this.#setOut(id, out, why);
			},
			introduceTo: (address) => {
				void this.introduceTo(address);
			},
		});
		mesh.serve(introduce, ({from}) => {
			const member = memberOf(from);
			if (member) {
				this.#recordIntroduction(member);
			}

			return {from: memberMessage(this.self.member())};
		});
		mesh.serve(rumour, (message) => {
			this.#applyRumour(message);
			return {};
		});
	}

	/** All that is known of the fleet's daemons. */
	get membership(): Membership {
		return this.#membership;
	}

	/** The live members as a roster, which orders them by domain and in the ring. */
	roster(): Roster<Member> {
		return this.#roster;
	}

	/** Merges the accounts of a peer. */
	merge(accounts: readonly Account[], gone: readonly string[]): void {
		this.#replace(this.#membership.with(accounts, gone));
	}

	/** Records that daemon runs are proved gone, and tells the fleet. */
	markGone(gone: readonly string[], proof: string): void {
		const newlyGone = gone.filter((id) => !this.#membership.gone.has(id));
		if (newlyGone.length > 0) {
			this.log.info('gone-proved', {ids: newlyGone.join(' '), proof});
			this.#spread([], newlyGone);
		}
	}

	/** Records whether the platform lists a daemon's VM as leaving, and tells the fleet. */
	setLeaving(id: string, leaving: boolean): void {
		const account = this.#membership.markedLeaving(id, leaving).get(id);
		if (account) {
			this.log.info('member-listed', {member: id, leaving});
			this.#spread([account], []);
		}
	}

	/** Exchanges identities with the daemon at `address`; its answer proves older runs gone. */
	async introduceTo(address: string): Promise<void> {
		const answer = await this.mesh.call(
			address,
			introduce,
			{from: memberMessage(this.self.member())},
			callTimeoutMs,
		);
		answer.ifRight(({from}) => {
			const member = memberOf(from);
			if (member) {
				this.#recordIntroduction(member);
			}
		});
	}

	override async start(): Promise<void> {
		this.#replace(this.#membership.with([initialAccount(this.self.member())]));
		this.#watch.start();
		await Promise.all(
			this.settings.fleet.seeds.map(async (address) =>
				this.introduceTo(address),
			),
		);
	}

	/** Tells the fleet that this run is gone, which is safe: the tasks that give orders have stopped before this one. */
	override async stop(): Promise<void> {
		this.#stopped = true;
		this.#watch.stop();
		const {id} = this.self;
		const children = this.#roster.children(id, id, 'fleet');
		await Promise.all(
			children.map(async ({address}) =>
				this.mesh.call(address, rumour, {gone: [id], root: id}, callTimeoutMs),
			),
		);
	}

	#setOut(id: string, out: boolean, why: string): void {
		this.log.info('member-judged', {member: id, out, why});
		const account = this.#membership.markedOut(id, out).get(id);
		if (account) {
			this.#spread([account], []);
		}
	}

	/** Records the identity that a daemon gave; other known runs on its VM and address are gone. */
	#recordIntroduction(member: Member): void {
		if (member.id === this.self.id) {
			return;
		}

		const older = this.#membership.otherRunsOnVm(member);
		const account = this.#membership.get(member.id);
		if (older.length > 0) {
			this.log.info('gone-proved', {
				ids: older.join(' '),
				proof: `${member.id} runs on ${member.vm}`,
			});
		}

		if (!account || older.length > 0) {
			this.#spread(account ? [] : [initialAccount(member)], older);
		}
	}

	#spread(accounts: readonly Account[], gone: readonly string[]): void {
		this.#applyRumour({
			accounts: accounts.map((account) => accountMessage(account)),
			gone: [...gone],
			root: this.self.id,
		});
	}

	#applyRumour(message: RumourMessage): void {
		const before = this.#membership;
		this.merge(accountsOf(message.accounts), message.gone ?? []);
		if (this.#membership === before) {
			return;
		}

		const root = message.root ?? '';
		for (const {address} of this.#roster.children(
			root,
			this.self.id,
			'fleet',
		)) {
			void this.mesh.call(address, rumour, message, callTimeoutMs);
		}
	}

	#replace(next: Membership): void {
		if (next === this.#membership || this.#stopped) {
			return;
		}

		this.#membership = next.with([this.#ownAccount(next)]);
		const live = this.#membership.live();
		this.#roster = Roster.of(live);
		const everyone = Roster.of(
			this.#membership.all().map(({member}) => member),
		);
		this.#watch.setRing({
			membership: this.#membership,
			live: this.#roster,
			everyone,
		});
		this.#publishLeaving();
		this.knownCount.publish(everyone.ring.length);
		this.gone.publish(this.#membership.gone);
		this.#publishMembers(live);
	}

	#publishLeaving(): void {
		const leaving = this.#membership
			.all()
			.filter((account) => account.leaving && !account.out)
			.map(({member}) => member.id);
		const before = this.leaving.value;
		const isSame =
			leaving.length === before.size && leaving.every((id) => before.has(id));
		this.leaving.publish(isSame ? before : new Set(leaving));
	}

	#publishMembers(live: readonly Member[]): void {
		const before = this.members.value;
		const joined = missingIn(before, live);
		const left = missingIn(live, before);
		if (joined.length + left.length > 0) {
			this.log.info('members-changed', {
				count: live.length,
				joined: joined.slice(0, maxLoggedIds).join(' '),
				left: left.slice(0, maxLoggedIds).join(' '),
			});
			this.members.publish(live);
		}
	}

	/** The account of this daemon. If it is marked out, this daemon contradicts that with a higher count. */
	#ownAccount(next: Membership): Account {
		const {id} = this.self;
		const held = next.get(id);
		if (!held) {
			return initialAccount(this.self.member());
		}

		return held.out ? {...held, out: false, count: held.count + 1} : held;
	}
}

/** Ids of the members of `all` that are not in `some`. */
function missingIn(
	some: readonly Member[],
	all: readonly Member[],
): readonly string[] {
	const ids = new Set(some.map(({id}) => id));
	return all.filter(({id}) => !ids.has(id)).map(({id}) => id);
}
