/** A stand-in client: sends one request over a new connection, or over one of an agent. */
import {Buffer} from 'node:buffer';
import {request as httpRequest} from 'node:http';

/** Resolves with the status, 0 if the connection ended without a complete answer, and what was received. */
export async function request({
	port,
	path,
	method = 'GET',
	headers = {},
	body,
	agent = false,
	timeoutMs = 30_000,
}) {
	return new Promise((resolve) => {
		const sentAt = performance.now();
		const end = (status, rest = {}) => {
			clearTimeout(timer);
			resolve({status, tookMs: performance.now() - sentAt, ...rest});
		};

		const req = httpRequest(
			{host: '127.0.0.1', port, path, method, headers, agent},
			(res) => {
				const parts = [];
				res.on('data', (part) => parts.push(part));
				res.once('error', (error) => {
					end(0, {error: error.code});
				});
				res.once('end', () => {
					const text = Buffer.concat(parts).toString();
					end(res.complete ? res.statusCode : 0, {headers: res.headers, text});
				});
			},
		);
		const timer = setTimeout(() => {
			req.destroy();
			end(0, {error: 'timeout'});
		}, timeoutMs);
		req.once('error', (error) => {
			end(0, {error: error.code});
		});
		req.end(body);
	});
}
