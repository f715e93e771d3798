/**
 * Decides which live daemons may have duties: guarding, and being the home of
 * contracts and key parts. A daemon that an operator has taken out of service, or
 * whose VM the platform lists as leaving, hands its duties to the others and
 * continues to serve callers. The platform's list may lag or be wrong, so it is
 * used only while it leaves enough daemons.
 */
import {type FailureDomain} from '../config/failure-domain.js';
import {type Vm} from '../config/vm.js';
import {type Member} from './membership.js';

/** The list is used only while it names at most this share of the daemons as leaving. */
const maxLeavingShare = 0.5;
/** The list is used only if at least this many daemons stay: a guardian and its successor. */
const minStaying = 2;

/** Why a daemon has no duties, or why it has some although its VM is listed as leaving. */
export type DutyReason =
	| 'VM taken out'
	| 'failure domain taken out'
	| 'VM listed as leaving'
	| 'VM listed as leaving, not heeded: too many are';

/** Which daemons may have duties at one moment. */
export type Duties = {
	/** Daemons that may have duties, sorted by id; all daemons if none would be left. */
	readonly members: readonly Member[];
	/** VMs listed as leaving; empty while the list is ignored. */
	readonly leavingVms: ReadonlySet<string>;
	readonly reasons: ReadonlyArray<{
		readonly vm: string;
		readonly reason: DutyReason;
	}>;
};

/** What the decision depends on. */
export type DutyInputs = {
	/** Live daemons, sorted by id. */
	readonly members: readonly Member[];
	/** Ids of daemons whose VMs are listed as leaving. */
	readonly leaving: ReadonlySet<string>;
	readonly vms: readonly Vm[];
	readonly failureDomains: readonly FailureDomain[];
};

export function dutiesOf(sources: DutyInputs): Duties {
	const {members, leaving} = sources;
	const listed = members.filter(({id}) => leaving.has(id));
	const isListUsed =
		listed.length <= members.length * maxLeavingShare &&
		members.length - listed.length >= minStaying;
	const reasonOf = reasonFinder(sources, isListUsed);
	const reasons = members.flatMap((member) => {
		const reason = reasonOf(member);
		return reason === undefined ? [] : [{vm: member.vm, reason}];
	});
	const eligible = members.filter((member) => {
		const reason = reasonOf(member);
		return reason === undefined || reason === listIgnored;
	});
	return {
		members: eligible.length > 0 ? eligible : members,
		leavingVms: new Set(isListUsed ? listed.map(({vm}) => vm) : []),
		reasons,
	};
}

const listIgnored = 'VM listed as leaving, not heeded: too many are';

function reasonFinder(
	{leaving, vms, failureDomains}: DutyInputs,
	isListUsed: boolean,
): (member: Member) => DutyReason | undefined {
	const vmsOut = new Set(vms.filter(({out}) => out).map(({vm}) => vm));
	const domainsOut = new Set(
		failureDomains
			.filter(({out}) => out)
			.map(({failureDomain}) => failureDomain),
	);
	return ({id, vm, failureDomain}) => {
		if (vmsOut.has(vm)) {
			return 'VM taken out';
		}

		if (domainsOut.has(failureDomain)) {
			return 'failure domain taken out';
		}

		if (leaving.has(id)) {
			return isListUsed ? 'VM listed as leaving' : listIgnored;
		}

		return undefined;
	};
}
