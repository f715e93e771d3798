/** Which HTTP methods may be repeated (RFC 9110, 9.2.2). */

const idempotentMethods: ReadonlySet<string> = new Set([
	'GET',
	'HEAD',
	'OPTIONS',
	'TRACE',
	'PUT',
	'DELETE',
]);

/** True when repeating a request of this method has no further effect. */
export function isIdempotent(method: string): boolean {
	return idempotentMethods.has(method);
}
