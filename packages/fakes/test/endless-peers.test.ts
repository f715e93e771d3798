import test, {type ExecutionContext} from 'ava';
import {
	HttpKeyOrders,
	HttpObjectStore,
	SystemClock,
} from '@kingcuproute/platform';
import {
	bodies,
	bodiless,
	endlessServers,
	extras,
	paces,
} from './endless-servers.js';
import {until} from './requests-fixture.js';

const timeoutMs = 600;
/** Time that a loaded machine may add to a call. */
const slackMs = 1500;
const storeTimeoutMs = 1500;
/** A tenth of a VM's memory, in bytes; includes what is still in transit on the connection. */
const maxWrittenLen = 35_000_000;
const order = {from: 1, to: 9, fence: 3};

/** Calls `call` with the address of a server of each kind; resolves with the results and how long they took. */
async function callEach<T>(
	t: ExecutionContext,
	kinds: readonly string[],
	call: (address: string) => Promise<T>,
): Promise<ReadonlyArray<{kind: string; end: T; tookMs: number}>> {
	const servers = await endlessServers(t, kinds.length);
	return Promise.all(
		servers.map(async (server, index) => {
			const kind = kinds[index];
			server.fixedKind = kind;
			const calledAt = performance.now();
			const end = await call(`127.0.0.1:${server.port}`);
			return {kind, end, tookMs: performance.now() - calledAt};
		}),
	);
}

function kindsOf(
	...sets: ReadonlyArray<Readonly<Record<string, unknown>>>
): readonly string[] {
	return sets
		.flatMap((set) => Object.keys(set))
		.flatMap((kind) => paces.map((pace) => `${kind}-${pace}`));
}

test.serial(
	'an order whose answer never ends is unknown once its timeout is over',
	async (t) => {
		const orders = new HttpKeyOrders(new SystemClock());
		t.teardown(async () => orders.close());
		const ends = await callEach(t, kindsOf(bodiless, bodies), async (address) =>
			orders.release({backendServer: 'a', address}, order, timeoutMs),
		);
		for (const {kind, end, tookMs} of ends) {
			t.is(end.kind, 'unknown', kind);
			t.true(tookMs < timeoutMs + slackMs, `${kind}: ${tookMs} ms`);
		}

		const completeAnswers = await callEach(
			t,
			kindsOf(extras),
			async (address) =>
				orders.release({backendServer: 'a', address}, order, timeoutMs),
		);
		t.deepEqual(
			new Set(completeAnswers.map(({end}) => end.kind)),
			new Set(['taken']),
		);
	},
);

test.serial(
	'an endless answer of the store is given up before its timeout is over',
	async (t) => {
		const [server] = await endlessServers(t, 1);
		server.fixedKind = 'noLength-flood';
		const store = new HttpObjectStore(
			`127.0.0.1:${server.port}`,
			new SystemClock(),
		);
		t.teardown(async () => store.close());
		const watched = await store.watch('servers', 1, 4000);
		t.true(watched.isLeft());
		await until(async () => server.writtenLen > 0);
		t.true(server.writtenLen < maxWrittenLen, `${server.writtenLen} bytes`);
	},
);

test.serial(
	'a call to a store that answers endlessly fails within its timeout',
	async (t) => {
		const ends = await callEach(
			t,
			kindsOf(bodiless, bodies),
			async (address) => {
				const store = new HttpObjectStore(address, new SystemClock());
				t.teardown(async () => store.close());
				return store.list('servers');
			},
		);
		for (const {kind, end, tookMs} of ends) {
			t.true(end.isLeft(), kind);
			t.true(tookMs < storeTimeoutMs + slackMs, `${kind}: ${tookMs} ms`);
		}
	},
);
