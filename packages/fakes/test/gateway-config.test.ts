import test from 'ava';
import {request} from 'undici';
import {createSite, sendAnswer, siteConfig} from './gateway-site.js';

test('a route of an unknown kind is served and never retried, a download is retried, and every other route serves', async (t) => {
	const site = createSite(t);
	const runs = new Map<string, number>();
	for (const name of ['i-1', 'i-2']) {
		await site.addServer(name, 'plain', (req, res, body) => {
			const count = (runs.get(req.url!) ?? 0) + 1;
			runs.set(req.url!, count);
			if (req.url!.endsWith('/lost') && count === 1) {
				res.destroy();
			} else {
				sendAnswer(req, res, body);
			}
		});
	}

	await site.start();
	const {routes} = siteConfig;
	const row = (name: string, kind: unknown, service: unknown) => [
		name,
		'shop.example',
		`/${name}/`,
		kind,
		30_000,
		600,
		2,
		2,
		service,
	];
	site.store.put('config', 'main', {
		...siteConfig,
		version: 'r2',
		routes: {
			...routes,
			rows: [
				...routes.rows,
				row('novel', 'novel', 'plain'),
				row('fetch', 'download', 'plain'),
				row('nowhere', 'safe', {}),
			],
		},
	});
	await site.line('event=config-in-force version=2');
	const line = await site.line('event=config-partly-unreadable');
	t.regex(line, /count=2/);
	t.regex(line, /routes\.4\.routeKind/);
	t.is(await site.statusOf('/read/x'), 200);
	t.is(await site.statusOf('/novel/x'), 200);
	t.is(await site.statusOf('/novel/lost'), 502);
	t.is(runs.get('/novel/lost'), 1);
	t.is(await site.statusOf('/fetch/lost'), 200);
	t.is(runs.get('/fetch/lost'), 2);
	const refused = await site.send('/nowhere/x');
	t.is(refused.status, 503);
	t.true(Number(refused.headers['retry-after']) > 0);

	const metrics = await request(`http://${site.readiness}/metrics`);
	const text = await metrics.body.text();
	t.regex(text, /kingcuproute_gateway_unreadable_total{kind="config"} 2/);
	t.regex(text, /outcome="no-service"} 1/);
	t.regex(text, /store_calls_total{kind="config",call="list"} 1/);
	t.regex(text, /store_calls_total{kind="config",call="watch"} [1-9]/);
});
