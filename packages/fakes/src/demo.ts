#!/usr/bin/env node
/** The demonstration: starts a deployment, sends requests through it, and checks every answer. */
import process from 'node:process';
import {Deployment} from './deployment/deployment.js';
import {Caller} from './demo/caller.js';
import {describeDeployment, startDeployment} from './demo/four-domains.js';

const deployment = await Deployment.start();
let passed = false;
try {
	const started = await startDeployment(deployment);
	process.stdout.write(describeDeployment(started));
	const caller = new Caller(started);
	passed = await caller.run();
} finally {
	await deployment.stop();
}

process.stdout.write(
	passed ? 'demo: every answer was right\n' : 'demo: some answer was wrong\n',
);
process.exitCode = passed ? 0 : 1;
