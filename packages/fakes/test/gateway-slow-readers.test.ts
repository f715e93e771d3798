import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {CallerSocket} from './caller-socket.js';
import {createSite, sendAnswer, siteConfig, type Site} from './gateway-site.js';
import {until} from './requests-fixture.js';

/** Memory of the smallest machine. */
const smallestMemoryMb = 250;
/** About the longest answer that the daemon buffers whole, in bytes. */
const answerLen = 1_000_000;
const serverCount = 20;
const megabyteLen = 1_048_576;

/** A site of long downloads, and of a service with short answers beside them. */
async function startDownloads(t: ExecutionContext): Promise<Site> {
	const site = createSite(t);
	site.memoryMb = smallestMemoryMb;
	const body = 'x'.repeat(answerLen);
	const begun = body.slice(answerLen / 10);
	for (let index = 0; index < serverCount; index++) {
		const name = `i-${index}`;
		await site.addServer(name, 'plain', (req, res) => {
			if (req.url!.endsWith('/stalls')) {
				res.writeHead(200, {
					'x-kingcuproute-request-id': req.headers['x-kingcuproute-request-id'],
					'content-length': answerLen,
				});
				res.write(begun);
			} else {
				sendAnswer(req, res, body);
			}
		});
		site.registerServer(name, 'plain', site.servedPort(), 1000);
	}

	await site.addServer('i-short', 'short', (req, res) => {
		sendAnswer(req, res, 'short');
	});
	await site.start();
	const {routes, services} = siteConfig;
	const [download] = routes.rows;
	const short = download.with(2, '/short/').with(8, 'short');
	const [plain] = services.rows;
	site.store.put('config', 'main', {
		...siteConfig,
		version: 'r2',
		routes: {...routes, rows: [download.with(3, 'download'), short]},
		services: {
			...services,
			rows: [plain.with(2, 5000), plain.with(0, 'short')],
		},
	});
	await site.line('event=config-in-force version=2');
	return site;
}

/** Opens connections until there are `count`, each of a caller that has begun a download and does not read. */
async function openReaders(
	{entry}: Site,
	readers: CallerSocket[],
	{count, suffix}: {readonly count: number; readonly suffix: string},
): Promise<void> {
	while (readers.length < count) {
		const reader = await CallerSocket.open(entry);
		reader.pause();
		reader.send(`/read/${readers.length}${suffix}`);
		readers.push(reader);
	}

	await sleep(1000);
}

/** Checks that a short request is answered, and that the memory of the daemon has fitted into its machine so far. */
async function checkBeside(
	t: ExecutionContext,
	site: Site,
	callers: number,
): Promise<void> {
	const {status, text} = await site.send('/short/x');
	t.is(status, 200);
	t.is(text, 'short');
	const peakMb = site.peakMemory() / megabyteLen;
	t.log(`${callers} callers: ${Math.round(peakMb)} MB`);
	t.true(peakMb < smallestMemoryMb, `${peakMb} MB`);
}

for (const [what, suffix] of [
	['callers that do not read their downloads', ''],
	['downloads that servers begin and do not finish', '/stalls'],
]) {
	test(`${what} take bounded memory, and others are served beside them`, async (t) => {
		const site = await startDownloads(t);
		const readers: CallerSocket[] = [];
		for (const count of [1, 100, 500]) {
			await openReaders(site, readers, {count, suffix});
			await checkBeside(t, site, count);
		}

		if (suffix === '') {
			const [first] = readers;
			first.resume();
			await until(async () => first.len > answerLen);
		}

		for (const reader of readers) {
			reader.leave();
		}
	});

	test(`a thousand ${what} fit into the memory of the smallest machine`, async (t) => {
		const site = await startDownloads(t);
		const readers: CallerSocket[] = [];
		await openReaders(site, readers, {count: 1000, suffix});
		await checkBeside(t, site, readers.length);
		for (const reader of readers) {
			reader.leave();
		}
	});
}
