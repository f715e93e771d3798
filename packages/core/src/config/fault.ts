/** What is wrong with a JSON document, in words that name the path, what was found and what is allowed. */
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';

/** One thing wrong with a document. */
export type Fault = {
	/** As in mesh.port. */
	readonly path: string;
	readonly message: string;
};

type Shape = {readonly properties?: Readonly<Record<string, Shape>>};

type Issue = z.core.$ZodIssue;

/** What came of checking a document. */
export type Checked<T> = Either<readonly Fault[], T>;

/** Faults of one document: more would help nobody. */
const maxFaults = 100;
/** Of a value that a fault shows. */
const maxShownLen = 200;
const maxShownItems = 10;
const maxShownDepth = 3;

/**
 * The value of a document already read as JSON, or the faults in it. Whatever the
 * document holds, and however deep, nothing is thrown.
 */
export function checked<T>(schema: z.ZodType<T>, json: unknown): Checked<T> {
	return Either.encase(() => schema.safeParse(json, {reportInput: true}))
		.mapLeft(({message}): readonly Fault[] => [
			{path: pathOf([]), message: `cannot be checked: ${message}`},
		])
		.chain((parsed) =>
			parsed.success
				? Right(parsed.data)
				: Left(faultsIn(parsed.error.issues, schema)),
		);
}

function faultsIn(issues: readonly Issue[], schema: z.ZodType) {
	return issues
		.slice(0, maxFaults)
		.flatMap((issue) => faultsOf(issue, schema))
		.slice(0, maxFaults);
}

/** One fault for each unknown key, else one for the issue. */
function faultsOf(issue: Issue, schema: z.ZodType): readonly Fault[] {
	if (issue.code === 'unrecognized_keys') {
		const shape = z.toJSONSchema(schema, {io: 'input'}) as Shape;
		return issue.keys.map((key) => unknownKey(issue, key, shape));
	}

	return [{path: pathOf(issue.path), message: messageOf(issue)}];
}

function unknownKey({path, input}: Issue, key: string, root: Shape): Fault {
	let shape: Shape | undefined = root;
	for (const name of path) {
		shape = shape?.properties?.[String(name)];
	}

	const allowed = Object.keys(shape?.properties ?? {}).join(', ');
	const found = shown((input as Readonly<Record<string, unknown>>)[key]);
	return {
		path: pathOf([...path, key]),
		message: `unknown key, allowed: ${allowed}, found ${found}`,
	};
}

function messageOf(issue: Issue): string {
	const {message, input} = issue;
	if (input !== undefined) {
		return `${message}, found ${shown(input)}`;
	}

	return issue.code === 'invalid_type'
		? `missing, expected ${issue.expected}`
		: message;
}

function pathOf(path: Issue['path']): string {
	return path.join('.') || '(root)';
}

/** The value as JSON, without what is long or deep in it. */
function shown(value: unknown): string {
	const text = JSON.stringify(pruned(value, maxShownDepth));
	return text.length > maxShownLen ? `${text.slice(0, maxShownLen)}…` : text;
}

function pruned(value: unknown, depth: number): unknown {
	if (typeof value === 'string') {
		return value.slice(0, maxShownLen + 1);
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	if (depth === 0) {
		return '…';
	}

	return Array.isArray(value)
		? value.slice(0, maxShownItems).map((item) => pruned(item, depth - 1))
		: Object.fromEntries(
				Object.entries(value)
					.slice(0, maxShownItems)
					.map(([key, item]) => [key, pruned(item, depth - 1)]),
			);
}
