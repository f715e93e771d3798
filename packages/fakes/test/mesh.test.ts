import {once} from 'node:events';
import {connect, createServer, type AddressInfo, type Socket} from 'node:net';
import {fold} from '@kingcuproute/core';
import test, {type ExecutionContext} from 'ava';
import {beat, GrpcMesh, probe, pull, type MeshError} from '@kingcuproute/mesh';
import {SystemClock} from '@kingcuproute/platform';
import {Link} from '../src/index.js';

/** Timeout of calls that may get no answer. */
const timeoutMs = 500;
/** Timeout of a call that waits on a silent connection while others are made. */
const silentCallTimeoutMs = 2000;
/** Timeout of calls that must get an answer, also on a busy machine. */
const longTimeoutMs = 5000;
/** Calls to a peer that has closed fail within this time, well before their timeout. */
const failFastMs = 1000;
const clock = new SystemClock();

type Peer = {readonly mesh: GrpcMesh; readonly address: string};

function meshFor(t: ExecutionContext): GrpcMesh {
	const mesh = new GrpcMesh(clock);
	t.teardown(() => {
		mesh.close();
	});
	return mesh;
}

/** Starts a peer that echoes each beat after the number of ms that ends its name (`a-300`), refuses probes and does not serve pulls. */
async function startPeer(
	t: ExecutionContext,
	address = '127.0.0.1:0',
): Promise<Peer> {
	const mesh = meshFor(t);
	mesh.serve(beat, async ({from}) => {
		const [, ms] = (from ?? '').split('-');
		if (Number(ms) > 0) {
			await clock.sleep(Number(ms));
		}

		return {from};
	});
	mesh.serve(probe, () => {
		throw new Error('not now');
	});
	const port = await mesh.listen(address);
	return {mesh, address: `127.0.0.1:${port}`};
}

async function linkTo(t: ExecutionContext, {address}: Peer) {
	const link = new Link(address);
	t.teardown(async () => link.close());
	return {link, via: await link.listen()};
}

/** Starts a proxy to the peer that connects each connection through only after `openMs`; returns its address. */
async function startSlowProxy(
	t: ExecutionContext,
	{address}: Peer,
	openMs: number,
): Promise<string> {
	const [host, port] = address.split(':') as [string, string];
	const sockets: Socket[] = [];
	const server = createServer(async (near) => {
		sockets.push(near);
		await clock.sleep(openMs);
		const far = connect(Number(port), host);
		sockets.push(far);
		far.on('error', () => near.destroy());
		near.on('error', () => far.destroy());
		near.pipe(far).pipe(near);
	});
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends a beat; returns the name echoed, or the kind of error. */
async function echo(
	mesh: GrpcMesh,
	address: string,
	from: string,
	ms = longTimeoutMs,
): Promise<string | MeshError['kind']> {
	const answer = await mesh.call(address, beat, {from}, ms);
	return fold(
		answer,
		({kind}) => kind,
		({from: echoed}) => echoed ?? '',
	);
}

/** The result of a call, and when it ended. */
async function withEndTime(call: Promise<string>) {
	const answer = await call;
	return {answer, endedAt: clock.now()};
}

test('each of many concurrent calls gets its own answer, whatever order the answers come in', async (t) => {
	const {address} = await startPeer(t);
	const mesh = meshFor(t);
	const names = Array.from(
		{length: 200},
		(_, index) => `b${index}-${(index * 7) % 40}`,
	);
	const answers = await Promise.all(
		names.map(async (name) => echo(mesh, address, name, longTimeoutMs)),
	);
	t.deepEqual(answers, names);
});

test('a refused call or one to an unknown method does not affect other calls', async (t) => {
	const {address} = await startPeer(t);
	const mesh = meshFor(t);
	const [refused, unknown, echoed] = await Promise.all([
		mesh.call(address, probe, {id: 'x', address}, longTimeoutMs),
		mesh.call(address, pull, {}, longTimeoutMs),
		echo(mesh, address, 'a-0'),
	]);
	t.like(refused.swap().orDefault(undefined as never), {kind: 'refused'});
	t.like(unknown.swap().orDefault(undefined as never), {kind: 'refused'});
	t.is(echoed, 'a-0');
});

test('an answer that comes after its timeout is dropped, and the calls after it get their own', async (t) => {
	const {address} = await startPeer(t);
	const mesh = meshFor(t);
	const late = echo(mesh, address, 'late-400', 200);
	const answers = await Promise.all([late, echo(mesh, address, 'a-0')]);
	t.deepEqual(answers, ['unreachable', 'a-0']);
	const next = ['b-300', 'c-50'].map(async (name) =>
		echo(mesh, address, name, longTimeoutMs),
	);
	t.deepEqual(await Promise.all(next), ['b-300', 'c-50']);
});

for (const fault of ['silentTo', 'silentFrom'] as const) {
	test(`a connection gone silent (${fault}) costs one timeout, and the next call uses a new connection`, async (t) => {
		const peer = await startPeer(t);
		const {link, via} = await linkTo(t, peer);
		const mesh = meshFor(t);
		t.is(await echo(mesh, via, 'a-0'), 'a-0');
		link.setFaults({[fault]: true});
		const startedAt = clock.now();
		const longCall = withEndTime(
			echo(mesh, via, 'long-0', silentCallTimeoutMs),
		);
		t.is(await echo(mesh, via, 'b-0', timeoutMs), 'unreachable');
		t.true(clock.now() - startedAt < timeoutMs * 2);
		link.setFaults({});
		t.is(await echo(mesh, via, 'c-0'), 'c-0');
		const {answer, endedAt} = await longCall;
		t.is(answer, 'unreachable');
		t.true(endedAt - startedAt < silentCallTimeoutMs + timeoutMs);
		t.is(await echo(mesh, via, 'd-0'), 'd-0');
	});
}

test('a connection that takes longer to open than the timeout of calls is still opened', async (t) => {
	const via = await startSlowProxy(t, await startPeer(t), timeoutMs * 1.5);
	const mesh = meshFor(t);
	const answers: string[] = [];
	while (answers.length < 10 && answers.at(-1) !== 'a-0') {
		answers.push(await echo(mesh, via, 'a-0', timeoutMs));
	}

	t.is(answers.at(-1), 'a-0', answers.join(' '));
});

test('calls to a peer that closes fail at once, and later calls reach its next run', async (t) => {
	const peer = await startPeer(t);
	const mesh = meshFor(t);
	t.is(await echo(mesh, peer.address, 'a-0'), 'a-0');
	const startedAt = clock.now();
	const pending = echo(mesh, peer.address, 'b-5000', longTimeoutMs);
	await clock.sleep(50);
	peer.mesh.close();
	t.is(await pending, 'unreachable');
	t.true(clock.now() - startedAt < failFastMs);
	await startPeer(t, peer.address);
	t.is(await echo(mesh, peer.address, 'c-0', longTimeoutMs), 'c-0');
});

test('the amount sent to a peer that reads nothing is bounded', async (t) => {
	const peer = await startPeer(t);
	const {link, via} = await linkTo(t, peer);
	const mesh = meshFor(t);
	t.is(await echo(mesh, via, 'a-0'), 'a-0');
	link.setFaults({silentFrom: true});
	const longName = 'x'.repeat(10_000);
	const answers = await Promise.all(
		Array.from({length: 500}, async () =>
			mesh.call(via, beat, {from: longName}, timeoutMs),
		),
	);
	const unsent = answers.filter((answer) =>
		answer
			.swap()
			.map(({message}) => message.includes('too much is unsent'))
			.orDefault(false),
	);
	t.true(unsent.length > 300, `${unsent.length} of 500 not sent`);
	link.setFaults({});
	t.is(await echo(mesh, via, 'b-0'), 'b-0');
});
