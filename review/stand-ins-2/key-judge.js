/**
 * Judges the rule OWNER by what servers see: a server takes a key with a fence that is not
 * above all with which others had it, or two servers hold a key for over half a second.
 */
const maxSharedMs = 500;

export class KeyJudge {
	broken = [];
	sent = 0;
	/** When a key was first found to be held twice, by key. */
	#sharedSince = new Map();

	constructor(servers, {now, record}) {
		this.servers = servers;
		this.now = now;
		this.record = record;
	}

	granted({server, from, to, fence}) {
		for (const other of this.servers) {
			const key =
				other === server ? -1 : findKey(other.fences, from, to, fence);
			if (key >= 0) {
				this.#add(
					`${this.now()} ms: ${server.id} takes key ${key} with fence ${fence}; ${other.id} had it with fence ${other.fences[key]}`,
				);
			}
		}
	}

	/** To be called at short intervals. */
	sample() {
		const {servers} = this;
		const now = this.now();
		for (let key = 0; key < servers[0].fences.length; key += 16) {
			const holders = servers.filter((server) => server.holds(key));
			if (holders.length < 2) {
				this.#sharedSince.delete(key);
				continue;
			}

			const since = this.#sharedSince.get(key) ?? now;
			this.#sharedSince.set(key, since);
			if (now - since > maxSharedMs) {
				const names = holders.map(({id}) => id).join(' and ');
				this.#sharedSince.set(key, Infinity);
				this.#add(`${now} ms: ${names} both hold key ${key} since ${since} ms`);
			}
		}
	}

	#add(text) {
		if (this.broken.length < 20) {
			this.broken.push(text);
			this.record(text);
		}
	}
}

/** The first key of the range that was had with this fence or a higher one. */
function findKey(fences, from, to, fence) {
	const index = fences.subarray(from, to + 1).findIndex((had) => had >= fence);
	return index === -1 ? -1 : from + index;
}
