import test from 'ava';
import {request} from 'undici';
import {
	newIdempotencyKey,
	fetchRuns,
	send,
	setServerFaults,
	startCluster,
	until,
} from './requests-fixture.js';

test('/metrics counts requests, refusals, retries and claims, and contains no key, path or id', async (t) => {
	const {servers, entry, daemons} = await startCluster(t, {
		servers: 2,
		settings: {keys: {skewMs: 0}},
	});
	await setServerFaults(servers[0], {shed: true});
	const headers = {'idempotency-key': newIdempotencyKey()};
	let sent = 0;
	await until(async () => {
		await send(entry, 'POST', `/kaha/secret-${sent++}`, {body: 'ten'});
		const declined = await fetchRuns(servers[0], 'declined');
		return sent >= 10 && declined.length > 0;
	});
	await send(entry, 'POST', '/kaha/keyed', {body: 'ten', headers});
	await send(entry, 'POST', '/kaha/keyed', {body: 'ten', headers});
	await send(entry, 'GET', '/no-such-service/secret');
	await send(entry, 'GET', '/kaha/secret', {
		headers: {'x-kingcup-deadline-ms': 'soon'},
	});
	const res = await request(`http://${daemons[0].operator}/metrics`);
	const text = await res.body.text();
	const valueOf = (line: string) => {
		const start = text.indexOf(`\nkingcuproute_${line} `);
		return start === -1
			? undefined
			: Number.parseFloat(text.slice(start).split(' ')[1]);
	};

	t.true(valueOf('requests_total{service="kaha",outcome="answered"}')! >= 11);
	t.true(valueOf('request_seconds_count{service="kaha"}')! >= 11);
	t.true(valueOf('retries_total{service="kaha"}')! >= 1);
	t.is(valueOf('requests_total{service="other",outcome="refused"}'), 1);
	t.is(
		valueOf(
			'refusals_total{service="kaha",reason="bad-request",ran="not-run"}',
		),
		1,
	);
	t.is(
		valueOf('refusals_total{service="kaha",reason="duplicate",ran="unknown"}'),
		1,
	);
	t.is(valueOf('idempotency_claims_total{verdict="granted"}'), 1);
	t.is(valueOf('idempotency_claims_total{verdict="duplicate"}'), 1);
	t.is(valueOf('quarantined_fingerprints'), 0);
	t.notRegex(text, /secret|heirloom|no-such-service/);
});
