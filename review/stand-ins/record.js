/** Writes what a case sent, answered and ran, one line for each event, to `record.txt` in the case's folder. */
import {appendFileSync, writeFileSync} from 'node:fs';

export class Record {
	#startedAt = performance.now();

	constructor(file) {
		this.file = file;
		writeFileSync(file, '');
	}

	/** Milliseconds since the record began. */
	now() {
		return performance.now() - this.#startedAt;
	}

	add(event, fields = {}) {
		const texts = Object.entries(fields).map(
			([name, value]) => `${name}=${value}`,
		);
		const line = [Math.round(this.now()), event, ...texts].join(' ');
		appendFileSync(this.file, `${line}\n`);
	}
}
