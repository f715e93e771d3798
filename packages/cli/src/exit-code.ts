/** Exit codes of the command line; docs/OPERATIONS.md lists them for scripts. */
export const exitCodes = {
	done: 0,
	failed: 1,
	/** The arguments or a file's content are invalid; nothing was written. */
	invalid: 2,
	/** Someone else changed the object in the meantime; nothing was written. */
	conflict: 3,
	/** The object does not exist. */
	missing: 4,
	/** The platform or a daemon did not answer; nothing was written. */
	unavailable: 5,
	/** A write may have taken effect: check before trying again. */
	unknown: 6,
	/** The change was accepted, but was not in force everywhere before the time-out. */
	notInForce: 7,
} as const;

/** An exit code of the process. */
export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];
