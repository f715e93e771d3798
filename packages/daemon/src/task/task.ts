/** A part of the daemon that owns its state and sockets from `start` to `stop`. */
export abstract class Task {
	/** Starts the task; resolves once it is ready. */
	abstract start(): Promise<void>;

	/** Stops the task gracefully; resolves once nothing of it runs. */
	abstract stop(): Promise<void>;
}
