import test from 'ava';
import {attemptCandidates, type BackendServer} from '../src/index.js';

const servers = ['a', 'b', 'c', 'd', 'e'].map((name): BackendServer => ({
	backendServer: name,
	failureDomain: `fd-${name}`,
	service: 'kaha',
	address: '127.0.0.1:1',
	out: false,
}));
const [a, b, c, d, e] = servers;

/** Conditions of a suspect of a crash while other suspects are in flight at `busy`. */
function conditions(
	tried: readonly BackendServer[],
	ejected: readonly BackendServer[],
	busy: readonly BackendServer[],
) {
	return {
		tried,
		ejected: ejected.map(({backendServer}) => backendServer),
		isAllowed: (server: BackendServer) => !busy.includes(server),
	};
}

test('a suspect of a crash waits for a server in use, not for the end of an ejection', (t) => {
	const crashed = [a, b];
	const inUse = [c, d, e];
	t.deepEqual(
		attemptCandidates(servers, conditions([a], crashed, inUse)),
		[],
		'while each has a suspect in flight',
	);
	t.deepEqual(attemptCandidates(servers, conditions([a], crashed, [c, d])), [
		e,
	]);
});

test('another attempt goes to a tried server in use rather than to an ejected one', (t) => {
	const ejected = [a, b, c, d];
	t.deepEqual(attemptCandidates(servers, conditions([a, e], ejected, [])), [e]);
});

test('ejected servers are candidates if all are ejected', (t) => {
	t.deepEqual(attemptCandidates(servers, conditions([a], servers, [])), [
		b,
		c,
		d,
		e,
	]);
});

test('an attempt goes to an untried server in use', (t) => {
	t.deepEqual(attemptCandidates(servers, conditions([], [], [])), servers);
	t.deepEqual(attemptCandidates(servers, conditions([a], [b], [])), [c, d, e]);
});
