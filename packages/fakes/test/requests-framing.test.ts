import test from 'ava';
import {
	fetchRuns,
	countRuns,
	sendRaw,
	startCluster,
} from './requests-fixture.js';

const head =
	'POST /kaha/shape HTTP/1.1\r\nhost: a\r\nx-customer: tiktak-haus\r\n';

const shapes: Readonly<Record<string, string>> = {
	'two lengths': `${head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`,
	'the same length twice': `${head}content-length: 3\r\ncontent-length: 3\r\n\r\nabc`,
	'a list of lengths': `${head}content-length: 3, 3\r\n\r\nabc`,
	'length with chunked': `${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
	'chunked with length': `${head}transfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n0\r\n\r\n`,
	'chunked not last': `${head}transfer-encoding: chunked, gzip\r\n\r\n0\r\n\r\n`,
	'coding before chunked': `${head}transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n`,
	'chunked twice': `${head}transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
	'space before the colon': `${head}transfer-encoding : chunked\r\n\r\n0\r\n\r\n`,
	'a signed length': `${head}content-length: +3\r\n\r\nabc`,
	'a negative length': `${head}content-length: -3\r\n\r\nabc`,
	'a hexadecimal length': `${head}content-length: 0x3\r\n\r\nabc`,
	'a folded field': `${head}x-a: b\r\n c: d\r\ncontent-length: 0\r\n\r\n`,
	'a bare line feed in the header': `${head}x-a: b\ncontent-length: 3\r\n\r\nabc`,
	'a bare carriage return': `${head}x-a: b\rc\r\ncontent-length: 0\r\n\r\n`,
	'a NUL in a value': `${head}x-a: b\0c\r\ncontent-length: 0\r\n\r\n`,
	'a control character in a name': `${head}x\u0001a: b\r\ncontent-length: 0\r\n\r\n`,
	'no host':
		'POST /kaha/shape HTTP/1.1\r\nx-customer: tiktak-haus\r\ncontent-length: 0\r\n\r\n',
	'two hosts': `${head}host: b\r\ncontent-length: 0\r\n\r\n`,
	'two customers': `${head}x-customer: another\r\ncontent-length: 0\r\n\r\n`,
	'connection that names the key': `${head}connection: x-key\r\nx-key: a\r\ncontent-length: 0\r\n\r\n`,
	'chunked in HTTP/1.0':
		'POST /kaha/shape HTTP/1.0\r\nhost: a\r\nx-customer: tiktak-haus\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
	'an unknown method':
		head.replace('POST', 'BOOK') + 'content-length: 0\r\n\r\n',
	'a malformed deadline': `${head}x-kingcup-deadline-ms: soon\r\ncontent-length: 0\r\n\r\n`,
};

test('requests whose framing is ambiguous are refused as not-run and reach no server', async (t) => {
	const {servers, entry} = await startCluster(t);
	for (const [name, text] of Object.entries(shapes)) {
		const message = `shape: ${name}`;
		const reply = await sendRaw(entry, text);
		t.regex(reply, /^HTTP\/1\.1 4\d\d /, message);
		t.is(reply.match(/HTTP\/1\.1 /g)?.length, 1, message);
		t.regex(reply, /x-kingcup-ran: not-run/, message);
	}

	t.is(await countRuns(servers, '/kaha/shape'), 0);
});

test('a badly framed chunk never runs as a complete request', async (t) => {
	const {servers, entry} = await startCluster(t);
	for (const chunk of [
		'zz\r\nabc\r\n0\r\n\r\n',
		'3\r\nabcX\r\n0\r\n\r\n',
		'3;\0\r\nabc',
	]) {
		const reply = await sendRaw(
			entry,
			`${head}transfer-encoding: chunked\r\n\r\n${chunk}`,
		);
		t.notRegex(reply, / 200 /);
	}

	t.is(await countRuns(servers, '/kaha/shape'), 0);
});

test('a header or a body that is too long is refused', async (t) => {
	const {servers, entry} = await startCluster(t, {
		settings: {requests: {maxHeaderLen: 4096, maxBodyLen: 1000}},
	});
	const long = await sendRaw(entry, `${head}x-a: ${'a'.repeat(8000)}\r\n\r\n`);
	t.regex(long, /^HTTP\/1\.1 431 /);
	const body = await sendRaw(
		entry,
		`${head}connection: close\r\ncontent-length: 1001\r\n\r\n${'a'.repeat(1001)}`,
	);
	t.regex(body, /^HTTP\/1\.1 400 /);
	t.regex(body, /x-kingcup-ran: not-run/);
	t.is(await countRuns(servers, '/kaha/shape'), 0);
});

test('internal header fields sent by a caller do not reach a server', async (t) => {
	const {servers, entry} = await startCluster(t);
	await sendRaw(
		entry,
		`${head}x-kingcup-request-id: forged\r\nx-kingcup-epoch: 9\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`,
	);
	const journal = await fetchRuns(servers[0]);
	const run = journal.find(({path}) => path === '/kaha/shape');
	t.truthy(run);
	t.not(run?.id, 'forged');
});
