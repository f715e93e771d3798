import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {type AddressInfo} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {HttpHealthChecks} from '../src/health-checks.js';
import {SystemClock} from '../src/system-clock.js';

const timeoutMs = 300;

/** Asks a server that handles health checks with `answer` for how much longer it is cold. */
async function coldMsOf(
	t: ExecutionContext,
	answer: (res: ServerResponse) => void,
) {
	const server = createServer((_req, res) => {
		answer(res);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const checks = new HttpHealthChecks(new SystemClock());
	t.teardown(async () => {
		await checks.close();
		server.closeAllConnections();
		server.close();
	});
	const {port} = server.address() as AddressInfo;
	const target = {backendServer: 'i-1', address: `127.0.0.1:${port}`};
	return checks.coldMs(target, '/health', timeoutMs);
}

/** Answers with a status and these fields. */
function answerWith(status: number, fields: Record<string, string>) {
	return (res: ServerResponse) => {
		res.writeHead(status, fields);
		res.end();
	};
}

const fromServer = {'x-kingcuproute-instance-id': 'i-1'};

test('a server says for how much longer it is cold, also while it is failing', async (t) => {
	const fields = {...fromServer, 'x-kingcuproute-cold-ms': '1250'};
	for (const status of [200, 503]) {
		const coldMs = await coldMsOf(t, answerWith(status, fields));
		t.is(coldMs.unsafeCoerce(), 1250);
	}

	const warm = await coldMsOf(t, answerWith(200, fromServer));
	t.is(warm.unsafeCoerce(), 0);
});

test('another server at the address, a malformed field and silence say nothing of the server', async (t) => {
	const answers = [
		answerWith(200, {'x-kingcuproute-instance-id': 'i-2'}),
		answerWith(200, {}),
		answerWith(200, {...fromServer, 'x-kingcuproute-cold-ms': '-1'}),
		answerWith(200, {...fromServer, 'x-kingcuproute-cold-ms': 'soon'}),
		(res: ServerResponse) => {
			res.destroy();
		},
		() => undefined,
	];
	for (const answer of answers) {
		const coldMs = await coldMsOf(t, answer);
		t.true(coldMs.isLeft());
	}
});
