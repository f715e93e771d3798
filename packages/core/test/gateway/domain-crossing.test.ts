import test from 'ava';
import {
	AnswerLengths,
	crossingCharge,
	defaultMsPerKb,
	SeededRandom,
	ServerLoads,
	type RouteRule,
} from '../../src/index.js';
import {aServer} from './a-server.js';
import {playFleet, type FleetPlan} from './hold-fleet.js';

/** Uploads and other requests of a large deployment, with more callers in one domain than its servers can serve in time. */
const uploads: FleetPlan = {
	daemons: 75,
	servers: 33,
	requestsPerS: 330,
	workMs: 200,
	refusing: 0,
	refuseMs: 0,
	lengthMs: 20_000,
	holds: true,
	provenRetries: true,
	domains: {arrivals: [0.5, 0.3, 0.2], chargeMs: 0, targetMs: 1000},
};

test('the charge for bytes keeps uneven uploads in their domain, and no fewer requests are in time', (t) => {
	const former = playFleet(uploads, 7);
	const chargeMs = 420;
	const charged = playFleet(
		{...uploads, domains: {...uploads.domains!, chargeMs}},
		7,
	);
	const figures = `former ${JSON.stringify(former)}, charged ${JSON.stringify(charged)}`;
	t.true(charged.crossedShare < former.crossedShare / 2, figures);
	t.true(charged.inTimeShare >= former.inTimeShare, figures);
	t.true(charged.refused <= former.refused, figures);
});

test('without a charge, or with their own domain full, requests go to any domain', (t) => {
	const loads = new ServerLoads(new SeededRandom(1));
	const servers = [
		aServer('own', {failureDomain: 'a'}),
		aServer('other', {failureDomain: 'b'}),
	];
	loads.sent('own');
	const chosen = (chargeMs: number) =>
		loads.choose(servers, 0, false, {ownDomain: 'a', chargeMs})?.backendServer;
	t.is(chosen(0), 'other');
	t.is(chosen(500), 'own');
	for (let count = 0; count < 5; count++) {
		loads.sent('own');
	}

	t.is(chosen(100_000), 'other');
});

test('the charge grows with the bytes up to half of the slack, and a late request is charged nothing', (t) => {
	const transfer = {requestLen: 102_400, answerLen: 0, slackMs: 1000};
	t.is(crossingCharge(transfer, 2), 200);
	t.is(crossingCharge({...transfer, answerLen: 102_400}, 2), 400);
	t.is(crossingCharge({...transfer, requestLen: 1_024_000}, 2), 500);
	t.is(crossingCharge({...transfer, slackMs: -1}, 2), 0);
	t.is(crossingCharge({...transfer, slackMs: Infinity}, 2), 200);
	t.deepEqual(
		[1, 15, 16, 200].map((daemons) => defaultMsPerKb(daemons)),
		[0, 0, 2, 2],
	);
});

test('the length of answers is known per route, and follows a change', (t) => {
	const lengths = new AnswerLengths();
	const [rule, other] = [{}, {}] as RouteRule[];
	t.is(lengths.mean(rule), 0);
	lengths.record(rule, 5000);
	t.is(lengths.mean(rule), 5000);
	for (let count = 0; count < 40; count++) {
		lengths.record(rule, 1000);
	}

	t.true(lengths.mean(rule) < 1100);
	t.is(lengths.mean(other), 0);
});

test('the run time that other daemons measured counts where this one has none', (t) => {
	const runTimes = new Map([
		['slow', 600],
		['fast', 100],
	]);
	const loads = new ServerLoads(new SeededRandom(1), () => runTimes);
	const servers = [aServer('slow'), aServer('fast')];
	const chosen = Array.from(
		{length: 20},
		() => loads.choose(servers, 0)?.backendServer,
	);
	t.true(chosen.every((name) => name === 'fast'));
});
