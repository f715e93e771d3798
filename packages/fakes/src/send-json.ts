/** JSON answers of the stand-ins. */
import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';

/** Answers with a status and `body` as JSON, with its length; does nothing if the head was already sent. */
export function sendJson(
	res: ServerResponse,
	status: number,
	body: unknown,
): void {
	if (!res.headersSent) {
		const text = JSON.stringify(body);
		res.writeHead(status, {
			'content-type': 'application/json',
			'content-length': Buffer.byteLength(text),
		});
		res.end(text);
	}
}
