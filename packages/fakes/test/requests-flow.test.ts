import {readFileSync} from 'node:fs';
import {connect, type Socket} from 'node:net';
import test from 'ava';
import {
	pause,
	countRuns,
	setServerFaults,
	startCluster,
	until,
	type Cluster,
} from './requests-fixture.js';

const megabyte = 1_048_576;
const bodyLen = 128 * megabyte;
/** Growth allowed for sockets, buffers and uncollected garbage while a body is not buffered, in bytes. */
const allowanceLen = 48 * megabyte;
const stallMs = 3000;

/** Resident memory of the daemon, in bytes. */
function memoryLenOf({daemons}: Cluster): number {
	const status = readFileSync(`/proc/${daemons[0].child.pid}/status`, 'utf8');
	return Number(/VmRSS:\s+(\d+) kB/.exec(status)![1]) * 1024;
}

/** The largest growth of resident memory, in bytes, during `stallMs`. */
async function peakGrowthLen(cluster: Cluster): Promise<number> {
	const before = memoryLenOf(cluster);
	let maxLen = 0;
	const end = performance.now() + stallMs;
	while (performance.now() < end) {
		maxLen = Math.max(maxLen, memoryLenOf(cluster) - before);
		await pause(50);
	}

	return maxLen;
}

function openCaller({entry}: Cluster, head: readonly string[]): Socket {
	const [host, port] = entry.split(':');
	const socket = connect(Number(port), host);
	const lines = [...head, 'x-customer: tiktak-haus', 'connection: close'];
	socket.write(`${lines.join('\r\n')}\r\n\r\n`);
	return socket;
}

test('an answer that its caller does not read is not buffered, and arrives complete once it is read', async (t) => {
	const cluster = await startCluster(t, {deadlineMs: 30_000});
	await setServerFaults(cluster.servers[0], {
		answer: 'long',
		answerLen: bodyLen,
	});
	const caller = openCaller(cluster, [
		'GET /kaha/photos HTTP/1.1',
		`host: ${cluster.entry}`,
	]);
	caller.pause();
	const growth = await peakGrowthLen(cluster);
	t.true(growth < allowanceLen, `${growth} bytes`);
	let len = 0;
	for await (const bytes of caller) {
		len += (bytes as Uint8Array).length;
	}

	t.true(len > bodyLen && len < bodyLen + 4096, `${len} bytes`);
});

test('a body that its server does not read is not buffered, and arrives complete once it is read', async (t) => {
	const cluster = await startCluster(t, {deadlineMs: 30_000});
	const [{child}] = cluster.servers;
	child.signal('SIGSTOP');
	const caller = openCaller(cluster, [
		'POST /kaha/photos HTTP/1.1',
		`host: ${cluster.entry}`,
		`content-length: ${bodyLen}`,
	]);
	caller.write(new Uint8Array(bodyLen));
	const growth = await peakGrowthLen(cluster);
	t.true(growth < allowanceLen, `${growth} bytes`);
	t.true(caller.writableLength > 0, 'the caller is blocked');
	child.signal('SIGCONT');
	let answer = '';
	for await (const bytes of caller) {
		answer += String(bytes);
	}

	t.true(answer.startsWith('HTTP/1.1 200 '), `answered ${answer}`);
	t.true(answer.includes(`"bytes":${bodyLen}`));
	await until(
		async () => (await countRuns(cluster.servers, '/kaha/photos')) === 1,
	);
});
