import test from 'ava';
import {request} from 'undici';
import {Deployment} from '../src/index.js';

test('a booking through any daemon reaches the one owner of its key and is answered, across processes', async (t) => {
	const deployment = await Deployment.start();
	t.teardown(async () => deployment.stop());
	await deployment.createObject('service', 'ticket-desk', {
		service: 'ticket-desk',
		slices: 16,
		slots: 3,
		connections: 130,
		checksFence: true,
		deadlineMs: 5000,
		slowStartMs: 0,
	});
	await deployment.createObject('contract', 'tiktak-haus', {
		customer: 'tiktak-haus',
		services: ['ticket-desk'],
		ratePerSecond: 100,
		burst: 100,
		concurrency: 10,
		weight: 1,
	});
	for (const domain of ['fd-a', 'fd-b', 'fd-c']) {
		await deployment.server({
			name: `desk-${domain}`,
			service: 'ticket-desk',
			failureDomain: domain,
			keyed: true,
		});
	}

	const daemons = await Promise.all(
		['fd-a', 'fd-b', 'fd-c'].map(async (domain, index) =>
			deployment.daemon(`vm-${index}`, domain),
		),
	);
	const owners = new Set<string>();
	for (const {entry} of daemons) {
		const answer = await bookUntilServed(entry);
		owners.add(answer.backendServer);
	}

	t.is(owners.size, 1);
});

async function bookUntilServed(
	entry: string,
): Promise<{readonly backendServer: string}> {
	const headers = {'x-customer': 'tiktak-haus', 'x-key': 'heirloom-7'};
	for (;;) {
		const res = await request(`http://${entry}/ticket-desk/deposit`, {
			method: 'POST',
			headers,
			body: 'ten',
		});
		const answer = (await res.body.json()) as {
			backendServer: string;
			ran?: string;
		};
		if (res.statusCode === 200) {
			return answer;
		}

		if (answer.ran === 'unknown') {
			throw new Error(`not proved not to have run: ${JSON.stringify(answer)}`);
		}
	}
}
