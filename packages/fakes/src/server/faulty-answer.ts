/** Answers of a stand-in backend server, whole or with a fault. */
import {type ServerResponse} from 'node:http';
import {pipeline, Readable} from 'node:stream';
import {sendJson} from '../send-json.js';
import {type ServerFaults} from './server-faults.js';

const partLen = 65_536;

/** Answers 200 with `body`, or with the fault that is in force. */
export function answerWith(
	res: ServerResponse,
	{answer: fault, answerLen}: ServerFaults,
	id: string,
	body: unknown,
): void {
	const text = JSON.stringify(body);
	switch (fault) {
		case 'truncated':
		case 'truncated-chunks': {
			truncate(res, fault === 'truncated', text);
			break;
		}

		case 'endless': {
			res.socket!.end(rawAnswer(id, text, false));
			break;
		}

		case 'doubled': {
			const answer = rawAnswer(id, text, true);
			res.socket!.write(answer + answer);
			break;
		}

		case 'long': {
			res.writeHead(200, {'content-length': answerLen});
			pipeline(zeroStream(answerLen), res, () => undefined);
			break;
		}

		case 'none': {
			break;
		}

		case 'wrong-id':
		case 'no-id':
		case 'whole': {
			if (fault === 'no-id') {
				res.removeHeader('x-kingcup-request-id');
			} else if (fault === 'wrong-id') {
				res.setHeader('x-kingcup-request-id', `${id}-another`);
			}

			sendJson(res, 200, body);
			break;
		}
	}
}

/** The refusal of a request that did not run, as raw HTTP text. */
export function rawRefusal(id: string): string {
	return [
		'HTTP/1.1 503 Service Unavailable',
		`x-kingcup-request-id: ${id}`,
		'x-kingcup-ran: not-run',
		'content-length: 0',
		'\r\n',
	].join('\r\n');
}

function zeroStream(len: number): Readable {
	const part = new Uint8Array(partLen);
	return Readable.from(
		(function* () {
			for (let left = len; left > 0; left -= partLen) {
				yield part.subarray(0, Math.min(left, partLen));
			}
		})(),
	);
}

function truncate(res: ServerResponse, hasLength: boolean, text: string): void {
	if (hasLength) {
		res.setHeader('content-length', text.length);
	}

	res.writeHead(200);
	res.write(text.slice(0, text.length / 2), () => {
		res.socket?.end();
	});
}

function rawAnswer(id: string, text: string, hasLength: boolean): string {
	return [
		'HTTP/1.1 200 OK',
		'content-type: application/json',
		`x-kingcup-request-id: ${id}`,
		...(hasLength ? [`content-length: ${text.length}`] : ['connection: close']),
		'',
		text,
	].join('\r\n');
}
