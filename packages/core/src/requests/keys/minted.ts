/** When an idempotency key was generated: keys are version 7 UUIDs, which contain a timestamp (RFC 9562). */

const uuidV7 =
	/^"?([\da-f]{8})-([\da-f]{4})-7[\da-f]{3}-[89ab][\da-f]{3}-[\da-f]{12}"?$/i;

/** The key's time in ms since the Unix epoch, or undefined if it is not a version 7 UUID. */
export function mintedAt(key: string): number | undefined {
	const match = uuidV7.exec(key);
	return match ? Number.parseInt(match[1] + match[2], 16) : undefined;
}
