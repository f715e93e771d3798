#!/usr/bin/env node
/** Runs the daemon on the platform. An environment variable names the settings file. */
import {readFileSync} from 'node:fs';
import process from 'node:process';
import 'reflect-metadata';
import {parseDeployment, settingsVariable} from '@kingcuproute/platform';
import {Gateway} from './gateway.js';

const exitInvalid = 2;

const file = process.env[settingsVariable];
if (file === undefined) {
	process.stderr.write(`${settingsVariable} is not set\n`);
	process.exit(exitInvalid);
}

const readSettings = () => parseDeployment(readFileSync(file, 'utf8'));
const deployment = readSettings();
deployment.ifLeft((faults) => {
	for (const {path, message} of faults) {
		process.stderr.write(`${file}: ${path}: ${message}\n`);
	}

	process.exit(exitInvalid);
});
const gateway = new Gateway(deployment.unsafeCoerce());
process.on('SIGHUP', () => {
	gateway.logChangedSettings(readSettings());
});
await gateway.start();
process.once('SIGTERM', () => {
	void (async () => {
		await gateway.stop();
		process.exit(0);
	})();
});
