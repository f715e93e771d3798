/** The clock of one run of a daemon, whose process a test can freeze or end. */
import {Clock, type Cancel, type Millis} from '@kingcuproute/core';

export class RunClock extends Clock {
	#state: 'running' | 'frozen' | 'ended' = 'running';
	/** How long the steady clock has stood still in all, because its VM was paused. */
	#pausedMs: Millis = 0;
	#frozenAt: Millis = 0;
	#deferred: Array<() => void> = [];

	constructor(private readonly base: Clock) {
		super();
	}

	get isRunning(): boolean {
		return this.#state === 'running';
	}

	override now(): Millis {
		return this.base.now() - this.#pausedMs;
	}

	override wall(): Millis {
		return this.base.wall();
	}

	override after(ms: Millis, act: () => void): Cancel {
		let isCancelled = false;
		const cancel = this.base.after(ms, () => {
			this.#runOrDefer(() => {
				if (!isCancelled) {
					act();
				}
			});
		});
		return () => {
			isCancelled = true;
			cancel();
		};
	}

	/** Resolves when the process is running: at once, after a freeze, or never once the run has ended. */
	async whenRunning(): Promise<void> {
		return new Promise((resolve) => {
			this.#runOrDefer(resolve);
		});
	}

	freeze(): void {
		if (this.#state === 'running') {
			this.#state = 'frozen';
			this.#frozenAt = this.base.now();
		}
	}

	/** Resumes the process after a freeze. `clockPaused` says whether its steady clock stood still with the VM. */
	thaw(clockPaused: boolean): void {
		if (this.#state === 'frozen') {
			this.#state = 'running';
			this.#pausedMs += clockPaused ? this.base.now() - this.#frozenAt : 0;
			const deferred = this.#deferred;
			this.#deferred = [];
			for (const act of deferred) {
				act();
			}
		}
	}

	/** Ends the run: its timers never fire again. */
	end(): void {
		this.#state = 'ended';
		this.#deferred = [];
	}

	#runOrDefer(act: () => void): void {
		if (this.#state === 'frozen') {
			this.#deferred.push(act);
		} else if (this.#state === 'running') {
			act();
		}
	}
}
