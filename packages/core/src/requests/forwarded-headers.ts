/**
 * Selects the header fields that are forwarded (RFC 9110, 7.6.1): all but hop-by-hop
 * fields and the internal ones that daemons and backend servers exchange.
 */

const hopByHop: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'expect',
	'http2-settings',
]);

/** Fields that routing or framing depends on: a caller may not list them in `Connection` to have them removed. */
const endToEnd: ReadonlySet<string> = new Set([
	'host',
	'content-length',
	'x-customer',
	'x-key',
	'idempotency-key',
]);

const internalPrefix = 'x-kingcup-';

/** Header fields as in Node's `rawHeaders`: name, value, name, value. */
export type RawHeaders = readonly string[];

/** The fields of `raw` that may be forwarded, in their order. */
export function forwardedHeaders(raw: RawHeaders): string[] {
	const connectionNames = namedByConnection(raw);
	const forwarded: string[] = [];
	for (let index = 0; index + 1 < raw.length; index += 2) {
		const name = raw[index].toLowerCase();
		if (
			!hopByHop.has(name) &&
			!connectionNames.has(name) &&
			!name.startsWith(internalPrefix)
		) {
			forwarded.push(raw[index], raw[index + 1]);
		}
	}

	return forwarded;
}

/** Why a request's header is ambiguous or malformed, or undefined if it is neither. */
export function headerFault(
	raw: RawHeaders,
	httpVersion: string,
): string | undefined {
	const counts = new Map<string, number>();
	for (let index = 0; index + 1 < raw.length; index += 2) {
		const name = raw[index].toLowerCase();
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	for (const name of [...endToEnd, 'transfer-encoding']) {
		if ((counts.get(name) ?? 0) > 1) {
			return `${name} occurs more than once`;
		}
	}

	if (!counts.has('host') && httpVersion === '1.1') {
		return 'host is missing';
	}

	const transferCoding = valueOf(raw, 'transfer-encoding');
	if (transferCoding !== undefined && counts.has('content-length')) {
		return 'both content-length and transfer-encoding are present';
	}

	if (transferCoding !== undefined && httpVersion !== '1.1') {
		return `transfer-encoding is not allowed in HTTP/${httpVersion}`;
	}

	if (
		transferCoding !== undefined &&
		transferCoding.trim().toLowerCase() !== 'chunked'
	) {
		return `transfer-encoding ${transferCoding}: only chunked is accepted`;
	}

	const removed = [...namedByConnection(raw)].find((name) =>
		endToEnd.has(name),
	);
	return removed && `connection must not list ${removed}`;
}

function namedByConnection(raw: RawHeaders): ReadonlySet<string> {
	const names = new Set<string>();
	for (let index = 0; index + 1 < raw.length; index += 2) {
		if (raw[index].toLowerCase() === 'connection') {
			for (const name of raw[index + 1].split(',')) {
				names.add(name.trim().toLowerCase());
			}
		}
	}

	return names;
}

function valueOf(raw: RawHeaders, name: string): string | undefined {
	for (let index = 0; index + 1 < raw.length; index += 2) {
		if (raw[index].toLowerCase() === name) {
			return raw[index + 1];
		}
	}

	return undefined;
}
