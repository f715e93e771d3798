import test, {type ExecutionContext} from 'ava';
import {type KindValue, type Kind, type ServerState} from '@kingcuproute/core';
import {GrpcMesh, introduce, pull, push} from '@kingcuproute/mesh';
import {SystemClock} from '@kingcuproute/platform';
import {request} from 'undici';
import {Deployment, type RunningServer} from '../src/index.js';
import {pause, until} from './requests-fixture.js';

const clock = new SystemClock();
const callMs = 1000;
const watchMs = 2500;
const service = 'ticket-desk';

/** The only peer that a starting daemon knows; pushes it the objects that a test chooses. */
class SoleSeedPeer {
	static async start(t: ExecutionContext): Promise<SoleSeedPeer> {
		const mesh = new GrpcMesh(clock);
		t.teardown(() => {
			mesh.close();
		});
		const peer = new SoleSeedPeer(mesh);
		const port = await mesh.listen('127.0.0.1:0');
		peer.address = `127.0.0.1:${port}`;
		return peer;
	}

	address = '';
	readonly introduced: Promise<{readonly id: string; readonly address: string}>;

	private constructor(private readonly mesh: GrpcMesh) {
		this.introduced = new Promise((resolve) => {
			mesh.serve(introduce, ({from}) => {
				const {vm, incarnation, address} = from!;
				resolve({id: `${vm}.${incarnation}`, address: address!});
				return {
					from: {
						vm: 'vm-peer',
						incarnation: 'a',
						failureDomain: 'fd-b',
						address: this.address,
					},
				};
			});
		});
		mesh.serve(pull, () => {
			throw new Error('holds no objects');
		});
	}

	async pushObject<K extends Kind>(
		kind: K,
		name: string,
		version: number,
		value: KindValue<K>,
	): Promise<void> {
		const {address} = await this.introduced;
		const object = {kind, name, version, value: JSON.stringify(value)};
		// A daemon that exits on receiving this object does not answer.
		await this.mesh.call(
			address,
			push,
			{objects: [object], root: 'vm-peer.a', fleet: true},
			callMs,
		);
	}
}

async function fetchGrants({address}: RunningServer): Promise<ServerState> {
	const res = await request(`http://${address}/grants`);
	return (await res.body.json()) as ServerState;
}

/** Starts a daemon whose only peer pushes it a table that names it guardian, before the fleet's settings. */
async function startDaemonWithPeer(t: ExecutionContext) {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	const server = await deployment.server({
		name: 'desk-1',
		service,
		failureDomain: 'fd-b',
		keyed: true,
	});
	const res = await request(`${deployment.origin}/faults`, {
		method: 'PUT',
		body: JSON.stringify({outage: true}),
	});
	await res.body.dump();
	const peer = await SoleSeedPeer.start(t);
	const seeds = [peer.address];
	const daemon = deployment.refusedDaemon('vm-1', 'fd-a', {fleet: {seeds}});
	const {id} = await peer.introduced;
	const {incarnation} = await fetchGrants(server);
	await peer.pushObject('service', service, 1, {
		service,
		slices: 1,
		slots: 3,
		connections: 130,
		checksFence: true,
		deadlineMs: 5000,
		slowStartMs: 0,
	});
	await peer.pushObject('backend-server', server.name, 2, {
		backendServer: server.name,
		service,
		failureDomain: 'fd-b',
		address: server.address,
		out: false,
	});
	const guard = {term: 1, incarnation, guardian: id, successor: ''};
	await peer.pushObject('table', service, 3, {
		service,
		rows: [{owner: server.name, epoch: 1, standby: ''}],
		guards: {[server.name]: guard},
		writer: 'peer',
	});
	return {peer, server, daemon};
}

function settingsWith(leaseMs: number) {
	return {durations: [{path: 'ownership.leaseMs', ms: leaseMs}]};
}

test('a daemon that holds a table guards only once it has compared its settings with those of the fleet', async (t) => {
	const {peer, server} = await startDaemonWithPeer(t);
	await pause(watchMs);
	const before = await fetchGrants(server);
	t.is(before.term, 0, 'no order was accepted');
	await peer.pushObject('common-settings', 'fleet', 4, settingsWith(1000));
	await until(async () => {
		const {term} = await fetchGrants(server);
		return term === 1;
	});
	t.pass();
});

test('a daemon that holds a table and then receives different settings exits, and has guarded nothing', async (t) => {
	const {peer, server, daemon} = await startDaemonWithPeer(t);
	await pause(watchMs);
	await peer.pushObject('common-settings', 'fleet', 4, settingsWith(900));
	const {code} = await daemon;
	t.is(code, 2);
	const {term} = await fetchGrants(server);
	t.is(term, 0);
});
