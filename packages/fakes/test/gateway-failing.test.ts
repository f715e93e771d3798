/** A backend server whose requests fail at once, beside one that does its work. */
import test from 'ava';
import {createSite, sendAnswer} from './gateway-site.js';

const requests = 40;
const workMs = 60;

test('a server that fails requests at once does not draw more of them than one that works', async (t) => {
	const site = createSite(t);
	let failed = 0;
	await site.addServer('i-works', 'plain', (req, res, body) => {
		setTimeout(() => {
			sendAnswer(req, res, body);
		}, workMs);
	});
	await site.addServer('i-fails', 'plain', (req, res) => {
		failed++;
		res.writeHead(500, {
			'x-kingcuproute-request-id': String(
				req.headers['x-kingcuproute-request-id'],
			),
			'x-kingcuproute-server-load': '1,0,3',
		});
		res.end();
	});
	await site.start();
	for (let count = 0; count < requests; count++) {
		const status = await site.statusOf('/read/x');
		t.true(status === 200 || status === 500, `${status}`);
	}

	t.true(failed <= requests / 2, `${failed} of ${requests} failed`);
});
