/**
 * The requests of one caller's connection that have not been answered yet, in the order
 * of their arrival. Each has a turn, in which it waits until it may be sent to a server.
 */
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Duplex} from 'node:stream';
import {mayStartBehind, type Repeatability} from '@kingcuproute/core';

/** With more unanswered requests than this, nothing more is read from the connection. */
const maxUnanswered = 32;

export class CallerConnection {
	static of(socket: Duplex): CallerConnection {
		let connection = connections.get(socket);
		if (!connection) {
			connection = new CallerConnection(socket);
			connections.set(socket, connection);
		}

		return connection;
	}

	#turns: readonly Turn[] = [];
	#closesAfter: Turn | undefined;
	#afterAnswers: (() => void) | undefined;

	private constructor(private readonly socket: Duplex) {
		socket.once('close', () => {
			for (const turn of this.#turns) {
				this.leave(turn);
			}
		});
	}

	/** Whether a request has not been answered yet. */
	get isBusy(): boolean {
		return this.#turns.length > 0;
	}

	/** Adds a request that has arrived. */
	enter(req: IncomingMessage, res: ServerResponse): Turn {
		const turn = new Turn(this, req, res);
		this.#turns = [...this.#turns, turn];
		if (this.#turns.length >= maxUnanswered) {
			this.socket.pause();
		}

		return turn;
	}

	/** Removes a request that has been answered, or whose caller has left. */
	leave(turn: Turn): void {
		if (!this.#turns.includes(turn)) {
			return;
		}

		this.#turns = this.#turns.filter((other) => other !== turn);
		turn.end();
		if (this.socket.isPaused() && this.#turns.length < maxUnanswered / 2) {
			this.socket.resume();
		}

		this.startWaiting();
		this.#checkAnswered();
	}

	/** Lets the requests start whose turn has come. */
	startWaiting(): void {
		const ahead: Array<Repeatability | undefined> = [];
		for (const turn of this.#answerableTurns()) {
			const {repeatability} = turn;
			if (repeatability && mayStartBehind(ahead, repeatability)) {
				turn.start();
			}

			ahead.push(repeatability);
		}
	}

	/**
	 * Whether `turn` is the last request in progress, so that the connection may close
	 * after its answer. If so, the requests behind it will never start.
	 */
	closeAfter(turn: Turn): boolean {
		if (this.#closesAfter) {
			return this.#closesAfter === turn;
		}

		const behind = this.#turns.slice(this.#turns.indexOf(turn) + 1);
		if (behind.some(({hasStarted}) => hasStarted)) {
			return false;
		}

		this.#closesAfter = turn;
		return true;
	}

	/**
	 * Calls `action` once every request that has been read completely is answered. For
	 * input after which nothing more can be read; later calls change nothing.
	 */
	afterAnswers(action: () => void): void {
		this.#afterAnswers ??= action;
		this.#checkAnswered();
	}

	/** The requests that no closing of the connection comes before. */
	#answerableTurns(): readonly Turn[] {
		// An answer that ends its connection has ended it before it counts as finished.
		if (!this.socket.writable) {
			return [];
		}

		const last = this.#closesAfter;
		return last
			? this.#turns.slice(0, this.#turns.indexOf(last) + 1)
			: this.#turns;
	}

	#checkAnswered(): void {
		if (this.#turns.every(({req}) => !req.complete)) {
			this.#afterAnswers?.();
		}
	}
}

const connections = new WeakMap<Duplex, CallerConnection>();

/** One request's place among those of its connection. */
export class Turn {
	repeatability: Repeatability | undefined;
	hasStarted = false;
	#hasEnded = false;
	readonly #onEnd: Array<() => void> = [];
	#startsOrEnds: (() => void) | undefined;

	constructor(
		private readonly connection: CallerConnection,
		readonly req: IncomingMessage,
		res: ServerResponse,
	) {
		const leave = () => {
			connection.leave(this);
		};

		res.once('finish', leave);
		res.once('close', leave);
	}

	/** Resolves with true once the request may be sent to a server, or with false if its caller will take it for unread. */
	async whenMayStart(repeatability: Repeatability): Promise<boolean> {
		this.repeatability = repeatability;
		const decided = new Promise<void>((resolve) => {
			this.#startsOrEnds = resolve;
		});
		this.connection.startWaiting();
		if (!this.hasStarted && !this.#hasEnded) {
			await decided;
		}

		return !this.#hasEnded;
	}

	/** Calls `action` once the request has been answered, or its caller has left. */
	onceEnded(action: () => void): void {
		if (this.#hasEnded) {
			action();
		} else {
			this.#onEnd.push(action);
		}
	}

	/** Whether the connection may close after this request's answer. */
	mayClose(): boolean {
		return this.connection.closeAfter(this);
	}

	/** For the connection: the request may be sent. */
	start(): void {
		this.hasStarted = true;
		this.#startsOrEnds?.();
	}

	/** For the connection: the request needs no answer any more. */
	end(): void {
		this.#hasEnded = true;
		this.#startsOrEnds?.();
		for (const action of this.#onEnd) {
			action();
		}
	}
}
