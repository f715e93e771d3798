#!/usr/bin/env node
/** The daemon's command line. */
import process from 'node:process';
import 'reflect-metadata';
import {fold, type SettingDifference, type Fault} from '@kingcuproute/core';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {Daemon} from './daemon.js';
import {readSettings, type Settings} from './settings/settings.js';

const exitInvalid = 2;

function printFaults(file: string, faults: readonly Fault[]): void {
	for (const {path, message} of faults) {
		process.stderr.write(`${file}: ${path}: ${message}\n`);
	}

	process.exitCode = exitInvalid;
}

/** Exits at once: the other daemons would not wait until the promises of this one had expired. */
function refuse(differences: readonly SettingDifference[]): never {
	for (const {path, ownMs, fleetMs} of differences) {
		process.stderr.write(
			`${path}: must be ${fleetMs} as in the rest of the fleet, found ${ownMs}\n`,
		);
	}

	process.exit(exitInvalid);
}

async function run(settings: Settings): Promise<void> {
	const daemon = new Daemon(settings, refuse);
	await daemon.start();
	let stopping = false;
	const stop = async () => {
		if (stopping) {
			daemon.cut();
			return;
		}

		stopping = true;
		await daemon.stop();
		process.exit(0);
	};

	for (const signal of ['SIGTERM', 'SIGINT'] as const) {
		process.on(signal, () => {
			void stop();
		});
	}
}

await yargs(hideBin(process.argv))
	.scriptName('kingcuprouted')
	.command(
		'run <file>',
		'run the daemon with the settings in FILE',
		(command) =>
			command.positional('file', {type: 'string', demandOption: true}),
		async ({file}) => {
			await fold(
				readSettings(file),
				async (faults) => {
					printFaults(file, faults);
				},
				run,
			);
		},
	)
	.command(
		'check <file>',
		'check the settings in FILE and exit',
		(command) =>
			command.positional('file', {type: 'string', demandOption: true}),
		({file}) => {
			fold(
				readSettings(file),
				(faults) => {
					printFaults(file, faults);
				},
				() => {
					process.stdout.write(`${file}: settings are valid
`);
				},
			);
		},
	)
	.demandCommand(1)
	.strict()
	.parseAsync();
