/** Callers with API keys at a daemon: who is let in, and what backend servers and operators see of it. */
import {Buffer} from 'node:buffer';
import {type IncomingHttpHeaders} from 'node:http';
import test, {type ExecutionContext} from 'ava';
import {request} from 'undici';
import {
	createSite,
	plainConfig,
	sendAnswer,
	type Site,
} from './gateway-site.js';
import {until} from './requests-fixture.js';

const {routes} = plainConfig;
const tenantColumns = ['name', 'apiKeys', 'ratePerS', 'burst', 'priority'];

/** A configuration with these rows of customers, and one route for everyone. */
function configWith(version: string, rows: readonly unknown[]) {
	const open = ['r5', 'shop.example', '/open/', 'safe', 30_000, 600, 2, 2];
	return {
		...plainConfig,
		version,
		routes: {
			columns: [...routes.columns, 'public'],
			rows: [...routes.rows, [...open, 'plain', true]],
		},
		tenants: {columns: tenantColumns, rows},
	};
}

/** A started site with one server, and the headers of the requests that reached it, by path. */
async function customerSite(t: ExecutionContext, config: unknown) {
	const site = createSite(t);
	const seen = new Map<string, IncomingHttpHeaders>();
	await site.addServer('i-1', 'plain', (req, res, body) => {
		seen.set(req.url!, req.headers);
		sendAnswer(req, res, body);
	});
	site.config = config;
	await site.start();
	return {site, seen};
}

function bearer(key: string) {
	return {authorization: `Bearer ${key}`};
}

async function metricsOf(site: Site): Promise<string> {
	const res = await request(`http://${site.readiness}/metrics`);
	return res.body.text();
}

test('a request without a known key is refused 401 before it reaches a server, unless its route is public', async (t) => {
	const rows = [
		['dune', ['key-dune'], null, null, null],
		['twin-1', ['key-twin'], null, null, null],
		['twin-2', ['key-twin'], null, null, null],
	];
	const {site, seen} = await customerSite(t, configWith('r1', rows));
	for (const [path, fields] of [
		['none', {}],
		['unknown', bearer('key-other')],
		['basic', {authorization: 'Basic key-dune'}],
		['bare', {authorization: 'key-dune'}],
		['empty', {authorization: 'Bearer'}],
		['shared', bearer('key-twin')],
	] as const) {
		const {status, headers, text} = await site.send(`/read/${path}`, fields);
		t.is(status, 401, path);
		t.is(headers['www-authenticate'], 'Bearer');
		t.deepEqual(JSON.parse(text), {reason: 'unauthorized', notRun: true});
	}

	t.is(seen.size, 0);
	t.is(await site.statusOf('/open/x', bearer('key-other')), 200);
	t.is(await site.statusOf('/open/y'), 200);
	const text = await metricsOf(site);
	t.regex(text, /refused_keys_total{cause="missing"} 1/);
	t.regex(text, /refused_keys_total{cause="unknown"} 2/);
	t.regex(text, /refused_keys_total{cause="malformed"} 3/);
	await site.line('event=request-refused id=q/read/shared');
	t.false(site.log().some((line) => line.includes('key-')));
});

test('a server gets the customer’s name in place of its key, whatever the caller set', async (t) => {
	const rows = [
		['dune', ['key-dune'], null, null, null],
		['Zoë 北', ['key-zoe'], null, null, null],
	];
	const {site, seen} = await customerSite(t, configWith('r1', rows));
	const spoofed = {'X-Kingcuproute-Tenant': 'other'};
	t.is(
		await site.statusOf('/read/a', {...bearer('key-dune'), ...spoofed}),
		200,
	);
	t.is(await site.statusOf('/read/b', {authorization: 'bEaReR  key-zoe'}), 200);
	t.is(
		await site.statusOf('/open/c', {...bearer('key-dune'), ...spoofed}),
		200,
	);
	const nameAt = (path: string) =>
		seen.get(path)!['x-kingcuproute-tenant'] as string | undefined;
	t.is(nameAt('/read/a'), 'dune');
	t.is(Buffer.from(nameAt('/read/b')!, 'latin1').toString('utf8'), 'Zoë 北');
	t.is(nameAt('/open/c'), undefined);
	for (const headers of seen.values()) {
		t.is(headers.authorization, undefined);
	}
});

test('without a list of customers, the header fields of callers pass as they are', async (t) => {
	const {site, seen} = await customerSite(t, plainConfig);
	const fields = {...bearer('key-dune'), 'x-kingcuproute-tenant': 'own'};
	t.is(await site.statusOf('/read/a', fields), 200);
	t.is(seen.get('/read/a')!.authorization, 'Bearer key-dune');
	t.is(seen.get('/read/a')!['x-kingcuproute-tenant'], 'own');
});

test('a new version of the configuration adds and revokes keys, and an older one brings none back', async (t) => {
	const withKeys = (version: string, ...keys: readonly string[]) =>
		configWith(version, [['dune', keys, null, null, null]]);
	const {site} = await customerSite(t, withKeys('r5', 'key-1'));
	t.is(await site.statusOf('/read/a', bearer('key-1')), 200);
	site.store.put('config', 'main', withKeys('r6', 'key-1', 'key-2'));
	await site.line('event=config-in-force version=6');
	t.is(await site.statusOf('/read/b', bearer('key-1')), 200);
	t.is(await site.statusOf('/read/b', bearer('key-2')), 200);
	site.store.put('config', 'main', withKeys('r7', 'key-2'));
	await site.line('event=config-in-force version=7');
	t.is(await site.statusOf('/read/c', bearer('key-1')), 401);
	t.is(await site.statusOf('/read/c', bearer('key-2')), 200);
	site.store.put('config', 'main', withKeys('r5', 'key-1'));
	site.store.put('config', 'main', {...withKeys('r8'), version: 'r8'});
	await site.line('event=config-in-force version=8');
	t.is(await site.statusOf('/read/d', bearer('key-1')), 401);
	t.is(await site.statusOf('/read/d', bearer('key-2')), 401);
	t.false(site.log().some((line) => line.includes('key-')));
});

test('requests beyond a customer’s quota are refused 429 before they run, with a time to wait, and others are served', async (t) => {
	const rows = [
		['small', ['key-small'], 1, 2, null],
		['large', ['key-large'], 1000, 1000, null],
	];
	const {site, seen} = await customerSite(t, configWith('r1', rows));
	const answers: Array<Awaited<ReturnType<Site['send']>>> = [];
	for (let index = 0; index < 60; index++) {
		answers.push(await site.send(`/read/${index}`, bearer('key-small')));
	}

	const refused = answers.filter(({status}) => status === 429);
	const ran = answers.filter(({status}) => status === 200).length;
	t.true(ran >= 7 && ran <= 27, `${ran} ran`);
	t.is(seen.size, ran);
	t.is(refused.length, 60 - ran);
	for (const {headers, text} of refused) {
		t.true(Number(headers['retry-after']) > 0);
		t.deepEqual(JSON.parse(text), {reason: 'over-quota', notRun: true});
	}

	t.is(await site.statusOf('/read/x', bearer('key-large')), 200);
	const line = await site.line('reason=over-quota');
	t.regex(line, /customer=small .*retryAfterMs=\d+ by=equal share=1 /);
	t.regex(
		await metricsOf(site),
		/customer_requests_total{customer="small",outcome="over-quota"} [3-5]\d/,
	);
	t.false(site.log().some((text) => text.includes('key-')));
});

test('where revocations are strict, a daemon that has lost the store accepts no key after the time allowed, and does again once it is back', async (t) => {
	const site = createSite(t);
	await site.addServer('i-1', 'plain', (req, res, body) => {
		sendAnswer(req, res, body);
	});
	site.config = configWith('r1', [['dune', ['key-dune'], null, null, null]]);
	site.settings.push(
		'terms.bounds.strictRevoke=1',
		'terms.bounds.revokeMs=1000',
	);
	await site.start();
	t.is(await site.statusOf('/read/a', bearer('key-dune')), 200);
	site.storeLink.setFaults({silentTo: true, silentFrom: true});
	await until(
		async () => (await site.statusOf('/read/b', bearer('key-dune'))) === 503,
	);
	t.regex(await site.line('reason=keys-outdated'), /notRun=true/);
	t.is(await site.statusOf('/open/c'), 200);
	site.storeLink.setFaults();
	site.storeLink.cut();
	await until(
		async () => (await site.statusOf('/read/d', bearer('key-dune'))) === 200,
	);
});
