/** The time of one run of a daemon, whose process a test can freeze, or end. */
import {Clock, type Cancel, type Millis} from '@kingcuproute/core';

export class RunClock extends Clock {
	#state: 'running' | 'frozen' | 'ended' = 'running';
	/** For how long the steady clock has stood still with its VM. */
	#stoodMs: Millis = 0;
	#frozenAt: Millis = 0;
	#due: Array<() => void> = [];

	constructor(private readonly base: Clock) {
		super();
	}

	get isRunning(): boolean {
		return this.#state === 'running';
	}

	override now(): Millis {
		return this.base.now() - this.#stoodMs;
	}

	override wall(): Millis {
		return this.base.wall();
	}

	override after(ms: Millis, act: () => void): Cancel {
		let isOff = false;
		const cancel = this.base.after(ms, () => {
			this.#run(() => {
				if (!isOff) {
					act();
				}
			});
		});
		return () => {
			isOff = true;
			cancel();
		};
	}

	/** Resolves when the process goes on: at once, after a freeze, or never. */
	async turn(): Promise<void> {
		return new Promise((resolve) => {
			this.#run(resolve);
		});
	}

	freeze(): void {
		if (this.#state === 'running') {
			this.#state = 'frozen';
			this.#frozenAt = this.base.now();
		}
	}

	/** Lets the process go on after a freeze, in which its steady clock may have stood still with the VM. */
	thaw(stoodStill: boolean): void {
		if (this.#state === 'frozen') {
			this.#state = 'running';
			this.#stoodMs += stoodStill ? this.base.now() - this.#frozenAt : 0;
			const due = this.#due;
			this.#due = [];
			for (const act of due) {
				act();
			}
		}
	}

	/** Nothing happens in this run any more. */
	end(): void {
		this.#state = 'ended';
		this.#due = [];
	}

	#run(act: () => void): void {
		if (this.#state === 'frozen') {
			this.#due.push(act);
		} else if (this.#state === 'running') {
			act();
		}
	}
}
