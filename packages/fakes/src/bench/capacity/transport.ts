/** What gRPC and TCP's payload cost beside the messages themselves: bytes counted by a relay between two ends. */
import process from 'node:process';
import {connect, createServer, type AddressInfo} from 'node:net';
import {beat, GrpcMesh} from '@kingcuproute/mesh';
import {SystemClock} from '@kingcuproute/platform';

const calls = 2000;
const timeoutMs = 5000;

export type Transport = {
	/** Bytes both ways of one call, beyond the bytes of its two messages. */
	readonly bytesPerCall: number;
	/** Processor time of both ends for one call, in ms. */
	readonly cpuMsPerCall: number;
};

export async function measureTransport(): Promise<Transport> {
	const clock = new SystemClock();
	const server = new GrpcMesh(clock);
	server.serve(beat, () => ({from: 'vm-2.15baslbsw2', stranger: false}));
	const port = await server.listen('127.0.0.1:0');
	let passed = 0;
	const relay = createServer({noDelay: true}, (near) => {
		const far = connect(port, '127.0.0.1');
		far.setNoDelay(true);
		const count = (bytes: Uint8Array) => {
			passed += bytes.length;
		};

		near.on('data', count);
		far.on('data', count);
		near.pipe(far).pipe(near);
	});
	await new Promise<void>((resolve) => {
		relay.listen(0, '127.0.0.1', resolve);
	});
	const client = new GrpcMesh(clock);
	let messageBytes = 0;
	client.setObserver((_path, _direction, bytes) => {
		messageBytes += bytes;
	});
	const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`;
	const ask = async () =>
		client.call(address, beat, {from: 'vm-1.3y9vll16f'}, timeoutMs);
	await ask();
	[passed, messageBytes] = [0, 0];
	const before = process.cpuUsage();
	for (let index = 0; index < calls; index++) {
		await ask();
	}

	const {user, system} = process.cpuUsage(before);
	client.close();
	server.close();
	relay.close();
	return {
		bytesPerCall: (passed - messageBytes) / calls,
		cpuMsPerCall: (user + system) / 1000 / calls,
	};
}
