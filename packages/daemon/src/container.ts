/** The dependency injection container of a daemon: the only place that binds abstract classes to implementations. */
import {randomInt} from 'node:crypto';
import {type Clock, type Random, SeededRandom} from '@kingcuproute/core';
import {GrpcMesh, type Mesh} from '@kingcuproute/mesh';
import {HttpPlatform, type Platform, SystemClock} from '@kingcuproute/platform';
import {Registry} from 'prom-client';
import {container, type DependencyContainer} from 'tsyringe';
import {Identity} from './fleet/identity.js';
import {Log} from './log/log.js';
import {Decisions} from './operator/decisions.js';
import {type Settings} from './settings/settings.js';

const maxSeed = 2 ** 31;
const incarnationLen = 8;

/** Creates the container of one daemon. */
export function daemonContainer(settings: Settings): DependencyContainer {
	const clock = new SystemClock();
	const random = new SeededRandom(randomInt(maxSeed));
	const incarnation = randomInt(2 ** 47)
		.toString(36)
		.padStart(incarnationLen, '0');
	const child = container.createChildContainer();
	child.registerInstance('Settings', settings);
	child.registerInstance<Clock>('Clock', clock);
	child.registerInstance<Random>('Random', random);
	const decisions = new Decisions(clock);
	child.registerInstance(Decisions, decisions);
	child.registerInstance(
		Log,
		Log.to(settings.log, {vm: settings.vm}, (event, fields) => {
			decisions.record(event, fields);
		}),
	);
	child.registerInstance(Registry, new Registry());
	child.registerInstance(
		Identity,
		new Identity(
			settings.vm,
			settings.failureDomain,
			incarnation,
			settings.mesh.advertise,
		),
	);
	child.registerInstance<Platform>(
		'Platform',
		new HttpPlatform(settings.platform, clock),
	);
	const mesh = new GrpcMesh(clock);
	child.registerInstance(GrpcMesh, mesh);
	child.registerInstance<Mesh>('Mesh', mesh);
	return child;
}
