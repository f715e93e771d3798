/** Validates JSON documents; each error message names the path, the value found and what is allowed. */
import {Either, Left, Right} from 'purify-ts';
import {z} from 'zod';

/** One thing wrong with a document. */
export type Fault = {
	/** Path in the document, such as mesh.port. */
	readonly path: string;
	readonly message: string;
};

type Shape = {readonly properties?: Readonly<Record<string, Shape>>};

type Issue = z.core.$ZodIssue;

/** The validated document, or what is wrong with it. */
export type Validated<T> = Either<readonly Fault[], T>;

/** Most faults reported for one document; a longer list would be no more useful. */
const maxFaults = 100;
/** Limits on the value that a fault message shows; the length is in characters of JSON. */
const maxPreviewLen = 200;
const maxPreviewItems = 10;
const maxPreviewDepth = 3;

/**
 * Validates a document that has already been parsed as JSON. Never throws, whatever
 * the document contains and however deeply it is nested.
 */
export function validate<T>(schema: z.ZodType<T>, json: unknown): Validated<T> {
	return Either.encase(() => schema.safeParse(json, {reportInput: true}))
		.mapLeft(({message}): readonly Fault[] => [
			{path: pathOf([]), message: `cannot be checked: ${message}`},
		])
		.chain((parsed) =>
			parsed.success
				? Right(parsed.data)
				: Left(faultsOfAll(parsed.error.issues, schema)),
		);
}

function faultsOfAll(issues: readonly Issue[], schema: z.ZodType) {
	return issues
		.slice(0, maxFaults)
		.flatMap((issue) => faultsOf(issue, schema))
		.slice(0, maxFaults);
}

/** One fault per unknown key if the issue is about unknown keys, otherwise one fault. */
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
	const found = preview((input as Readonly<Record<string, unknown>>)[key]);
	return {
		path: pathOf([...path, key]),
		message: `unknown key, allowed: ${allowed}, found ${found}`,
	};
}

function messageOf(issue: Issue): string {
	const {message, input} = issue;
	if (input !== undefined) {
		return `${message}, found ${preview(input)}`;
	}

	return issue.code === 'invalid_type'
		? `missing, expected ${issue.expected}`
		: message;
}

function pathOf(path: Issue['path']): string {
	return path.join('.') || '(root)';
}

/** The value as JSON, with long and deeply nested parts cut off. */
function preview(value: unknown): string {
	const text = JSON.stringify(truncated(value, maxPreviewDepth));
	return text.length > maxPreviewLen
		? `${text.slice(0, maxPreviewLen)}…`
		: text;
}

function truncated(value: unknown, depth: number): unknown {
	if (typeof value === 'string') {
		return value.slice(0, maxPreviewLen + 1);
	}

	if (typeof value !== 'object' || value === null) {
		return value;
	}

	if (depth === 0) {
		return '…';
	}

	return Array.isArray(value)
		? value.slice(0, maxPreviewItems).map((item) => truncated(item, depth - 1))
		: Object.fromEntries(
				Object.entries(value)
					.slice(0, maxPreviewItems)
					.map(([key, item]) => [key, truncated(item, depth - 1)]),
			);
}
