import test from 'ava';
import fc from 'fast-check';
import {
	initialKeyTable,
	KeyRecords,
	KeyTenure,
	mintedAt,
	partsGivenUp,
	type KeyTable,
	type PartTerm,
	withTransferredRecords,
} from '../src/index.js';

const daemons = ['a', 'b', 'c'].map((id) => ({id, failureDomain: `fd-${id}`}));
const options = {loanMs: 100, marginMs: 10};

type Version = {readonly version: number; readonly table: KeyTable};

/** A model of three daemons and a store, with messages that are late or lost. */
function fleet() {
	let now = 0;
	let store: Version = {version: 1, table: initialKeyTable(1, daemons, 0)};
	const copies = daemons.map(() => store);
	const tenures = daemons.map((daemon) => new KeyTenure(daemon, options));
	const loans: Array<{to: number; parts: readonly PartTerm[]; at: number}> = [];
	const writes: Version[] = [];
	return {
		pass(ms: number) {
			now += ms;
		},
		refresh(index: number) {
			copies[index] = store;
		},
		ask(from: number, to: number) {
			const {table} = copies[from];
			const parts = tenures[from].asks(table, daemons[to].id);
			const lent = tenures[to].lend(
				copies[to].table,
				daemons[from].id,
				parts,
				now,
			);
			loans.push({to: from, parts: lent, at: now});
		},
		deliver(pick: number) {
			const loan = loans[pick % Math.max(1, loans.length)];
			if (loan) {
				tenures[loan.to].addLoans(loan.parts, loan.at);
			}
		},
		plan(index: number, seen: readonly boolean[], settled: boolean) {
			const members = daemons.filter(
				(_, other) => other === index || seen[other],
			);
			const {version, table} = copies[index];
			const context = {now, wall: now, members, settled, isGone: () => false};
			const next = tenures[index].plan(table, context);
			if (next) {
				writes.push({version, table: next});
			}
		},
		write(pick: number) {
			const write = writes[pick % Math.max(1, writes.length)];
			if (write?.version === store.version) {
				store = {version: store.version + 1, table: write.table};
			}
		},
		countGranting() {
			return tenures.filter((tenure, index) =>
				tenure.mayGrant(copies[index].table, 0, now),
			).length;
		},
	};
}

const who = fc.nat(2);

test('at most one daemon may grant a key, whichever messages are late or lost and tables out of date', (t) => {
	let granted = 0;
	fc.assert(
		fc.property(
			fc.array(
				fc.oneof(
					fc.record({kind: fc.constant('pass' as const), ms: fc.nat(60)}),
					fc.record({kind: fc.constant('refresh' as const), who}),
					fc.record({kind: fc.constant('ask' as const), who, to: who}),
					fc.record({kind: fc.constant('deliver' as const), pick: fc.nat(9)}),
					fc.record({
						kind: fc.constant('plan' as const),
						who,
						seen: fc.tuple(fc.boolean(), fc.boolean(), fc.boolean()),
						settled: fc.boolean(),
					}),
					fc.record({kind: fc.constant('write' as const), pick: fc.nat(9)}),
				),
				{maxLength: 120, size: 'max'},
			),
			(events) => {
				const world = fleet();
				for (const event of events) {
					switch (event.kind) {
						case 'pass': {
							world.pass(event.ms);
							break;
						}

						case 'refresh': {
							world.refresh(event.who);
							break;
						}

						case 'ask': {
							world.ask(event.who, event.to);
							break;
						}

						case 'deliver': {
							world.deliver(event.pick);
							break;
						}

						case 'plan': {
							world.plan(event.who, event.seen, event.settled);
							break;
						}

						case 'write': {
							world.write(event.pick);
							break;
						}
					}

					const count = world.countGranting();
					granted += count;
					if (count > 1) {
						return false;
					}
				}

				return true;
			},
		),
		{numRuns: 2000},
	);
	t.true(granted > 100);
});

test('a key is granted to one request within its window, for any sequence of claims', (t) => {
	const windowMs = 1000;
	const skewMs = 50;
	const claimOf = fc.record({
		key: fc.constantFrom('k', 'l', 'm'),
		claimant: fc.constantFrom('x', 'y', 'z'),
		afterMs: fc.nat(600),
	});
	fc.assert(
		fc.property(fc.array(claimOf), (claims) => {
			const records = new KeyRecords({windowMs, skewMs, maxRecords: 2});
			const granted = new Map<string, string>();
			let wall = 10_000;
			for (const {key, claimant, afterMs} of claims) {
				wall += afterMs;
				const verdict = records.claim(
					{key, claimant, mintedAt: 10_000},
					0,
					wall,
				);
				const before = granted.get(key) ?? claimant;
				if (verdict === 'granted' && before !== claimant) {
					return false;
				}

				if (verdict === 'granted') {
					granted.set(key, claimant);
				}
			}

			return records.size <= 2;
		}),
	);
	t.pass();
});

test('a key from before its holder took over is unproved, and one from the future is early', (t) => {
	const records = new KeyRecords({
		windowMs: 1000,
		skewMs: 50,
		maxRecords: 9,
	});
	const claim = (minted: number) =>
		records.claim(
			{key: String(minted), claimant: 'x', mintedAt: minted},
			5000,
			5400,
		);
	t.is(claim(5099), 'unproved');
	t.is(claim(5100), 'granted');
	t.is(claim(5451), 'early');
});

test('a key is free for another request once its request is proved not to have run', (t) => {
	const records = new KeyRecords({windowMs: 1000, skewMs: 0, maxRecords: 9});
	const claim = (claimant: string) =>
		records.claim({key: 'k', claimant, mintedAt: 100}, 0, 100);
	t.is(claim('x'), 'granted');
	records.release('k', 'y');
	t.is(claim('y'), 'duplicate');
	records.release('k', 'x');
	t.is(claim('y'), 'granted');
});

test('of the requests with a key one runs, however often its records are transferred, even if copies arrive late', (t) => {
	const options = {windowMs: 1000, skewMs: 0, maxRecords: 9};
	const key = fc.constantFrom('k', 'l');
	let ran = 0;
	fc.assert(
		fc.property(
			fc.array(
				fc.oneof(
					fc.record({kind: fc.constant('claim' as const), key}),
					fc.record({kind: fc.constant('release' as const), key}),
					fc.record({kind: fc.constant('transfer' as const)}),
					fc.record({kind: fc.constant('copy' as const)}),
					fc.record({kind: fc.constant('late' as const)}),
				),
			),
			(events) => {
				let [holder, other] = [
					new KeyRecords(options),
					new KeyRecords(options),
				];
				const granted = new Map<string, string>();
				let copy = holder.of(() => true);
				for (const [index, event] of events.entries()) {
					switch (event.kind) {
						case 'claim': {
							const claimant = `request-${index}`;
							const claim = {key: event.key, claimant, mintedAt: 500};
							if (holder.claim(claim, 0, 500) === 'granted') {
								if (granted.has(event.key)) {
									return false;
								}

								ran++;
								granted.set(event.key, claimant);
							}

							break;
						}

						case 'release': {
							const claimant = granted.get(event.key) ?? '';
							holder.release(event.key, claimant);
							granted.delete(event.key);
							break;
						}

						case 'transfer': {
							t.true(other.addAll(holder.of(() => true)));
							[holder, other] = [other, holder];
							break;
						}

						case 'copy': {
							copy = holder.of(() => true);
							break;
						}

						case 'late': {
							(index % 2 === 0 ? holder : other).addAll(copy);
							break;
						}
					}
				}

				return true;
			},
		),
	);
	t.true(ran > 20);
});

test('records are transferred completely or not at all, and only those of the selected keys', (t) => {
	const options = {windowMs: 1000, skewMs: 0, maxRecords: 2};
	const holder = new KeyRecords(options);
	holder.claim({key: 'k', claimant: 'x', mintedAt: 500}, 0, 500);
	holder.claim({key: 'l', claimant: 'y', mintedAt: 500}, 0, 500);
	t.deepEqual(
		holder.of((key) => key === 'l'),
		[{key: 'l', claimant: 'y', at: 500}],
	);
	const next = new KeyRecords({...options, maxRecords: 1});
	t.false(next.addAll(holder.of(() => true)));
	t.is(next.size, 0);
});

test('only the parts whose records were transferred keep their former start', (t) => {
	const before = initialKeyTable(2, daemons, 0);
	const {holder} = before.rows[0];
	const rows = before.rows.map((row) => ({...row, holder: 'd', since: 9}));
	const givenUp = partsGivenUp(before, {rows}, holder).get('d') ?? [];
	t.true(givenUp.includes(0));
	const next = withTransferredRecords(before, {rows}, new Set([0]));
	t.deepEqual(
		next.rows.map(({since}) => since),
		[0, 9],
	);
});

test('the time of a key is that of its version 7 UUID', (t) => {
	t.is(mintedAt('017f22e2-79b0-7cc3-98c4-dc0c0c07398f'), 1_645_557_742_000);
	t.is(mintedAt('"017f22e2-79b0-7cc3-98c4-dc0c0c07398f"'), 1_645_557_742_000);
	t.is(mintedAt('8b5e3f0e-5d0c-4a50-9d6b-0e6f1c2a9b11'), undefined);
	t.is(mintedAt('booking-7'), undefined);
});
