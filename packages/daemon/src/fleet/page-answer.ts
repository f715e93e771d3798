/** Answers peers that pull what they are missing, one page at a time. */
import {
	hash32,
	type DomainDigest,
	type VersionedObject,
	type Membership,
	type Replica,
} from '@kingcuproute/core';
import {type PageMessage, type PullMessage} from '@kingcuproute/mesh';
import {type StoreState} from './config-task.js';
import {
	accountMessage,
	digestsOf,
	objectLen,
	objectMessage,
} from './messages.js';
import {firstPage} from './pages.js';

/** The state that answers are made from. */
export type AnswerSources = {
	readonly replica: Replica;
	readonly membership: Membership;
	readonly store: StoreState;
	/** Whether this daemon watches the platform. */
	readonly relay: boolean;
};

/** Returns the page that a pull asks for; objects that the platform does not hold come with the last page. */
export function pageFor(
	{complete, after, unstored, members}: PullMessage,
	{replica, membership, store, relay}: AnswerSources,
): PageMessage {
	const since = complete ?? 0;
	const whole = !replica.hasChangesSince(since);
	const from = Number(after) > 0 ? Number(after) : whole ? 0 : since;
	const {items, rest} = firstPage(replica.storedAfter(from), objectLen);
	const more = rest.length > 0;
	const heldUnstored = replica.unstored();
	const missing =
		!more && digestOf(heldUnstored) !== unstored ? heldUnstored : [];
	return {
		objects: [...items, ...missing].map((object) => objectMessage(object)),
		upto: replica.complete,
		more,
		whole,
		relay,
		storeUp: store.up,
		storeSince: store.since,
		...(!more && differingAccounts(membership, digestsOf(members))),
	};
}

/** Digest of objects that the platform does not hold, to compare those of two daemons. */
export function digestOf(objects: readonly VersionedObject[]): number {
	return hash32(
		objects.map(({name, version}) => `${name} ${version}`).join('\n'),
	);
}

function differingAccounts(
	membership: Membership,
	digests: readonly DomainDigest[],
): Pick<PageMessage, 'accounts' | 'gone'> {
	return membership.equals(digests)
		? {}
		: {
				accounts: membership
					.differingFrom(digests)
					.map((account) => accountMessage(account)),
				gone: [...membership.gone],
			};
}
