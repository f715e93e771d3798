/** The writer of each service's table, created on first use. */
import {TableWriter, type TableWriterParts} from './table-writer.js';

export class TableWriters {
	readonly #writers = new Map<string, TableWriter>();

	constructor(private readonly parts: Omit<TableWriterParts, 'service'>) {}

	of(service: string): TableWriter {
		const known = this.#writers.get(service);
		if (known) {
			return known;
		}

		const writer = new TableWriter({...this.parts, service});
		this.#writers.set(service, writer);
		return writer;
	}
}
