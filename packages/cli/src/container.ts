/** Dependency injection: binds the parts that a session is made of. */
import {type Clock} from '@kingcuproute/core';
import {HttpPlatform, SystemClock, type Platform} from '@kingcuproute/platform';
import {container} from 'tsyringe';
import {Daemons} from './daemons.js';
import {JsonOutput, TextOutput, type Output} from './output.js';
import {Session} from './session.js';

/** Options that every command takes. */
export type GlobalOptions = {
	readonly platform: string;
	readonly operator: readonly string[];
	readonly output: 'text' | 'json';
};

/** A session, and how to close it. */
export type OpenSession = {
	readonly session: Session;
	readonly close: () => Promise<void>;
};

/** The output in the chosen format. */
export function outputOf({output}: Pick<GlobalOptions, 'output'>): Output {
	return output === 'json' ? new JsonOutput() : new TextOutput();
}

/** Opens a session with the given options. */
export function openSession(options: GlobalOptions): OpenSession {
	const clock = new SystemClock();
	const platform = new HttpPlatform({origin: options.platform}, clock);
	const output = outputOf(options);
	const child = container.createChildContainer();
	child.registerInstance<Clock>('Clock', clock);
	child.registerInstance<Platform>('Platform', platform);
	child.registerInstance<Output>('Output', output);
	child.registerInstance(Daemons, new Daemons(options.operator, clock));
	return {
		session: child.resolve(Session),
		close: async () => platform.close(),
	};
}
