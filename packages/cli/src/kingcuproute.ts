#!/usr/bin/env node
/** The operators' command line. */
import process from 'node:process';
import 'reflect-metadata';
import yargs from 'yargs';
import {hideBin} from 'yargs/helpers';
import {explainCommand} from './commands/explain.js';
import {goneCommand} from './commands/gone.js';
import {inOutCommands} from './commands/in-out.js';
import {objectCommands, type DocumentKind} from './commands/objects.js';
import {ownerCommand} from './commands/owner.js';
import {settingsCommands} from './commands/settings.js';
import {statusCommand} from './commands/status.js';
import {type Parser} from './commands/command.js';
import {exitCodes} from './exit-code.js';

// A reader that closes the pipe early, as in `kingcuproute ... | head`, is not an error.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
	if (error.code !== 'EPIPE') {
		throw error;
	}
});

const parser: Parser = yargs(hideBin(process.argv))
	.scriptName('kingcuproute')
	.usage(
		'$0 COMMAND: edit contracts, take parts of the fleet in and out of service, and explain decisions',
	)
	.option('platform', {
		type: 'string',
		default: '',
		defaultDescription: 'none',
		describe: 'origin of the object API, as in http://10.0.0.1:8080',
	})
	.option('operator', {
		type: 'string',
		array: true,
		nargs: 1,
		default: [] as string[],
		describe:
			'operator addresses of daemons, HOST:PORT; most commands use the first that answers',
	})
	.option('output', {
		choices: ['text', 'json'] as const,
		default: 'text' as const,
	})
	.config('config', 'a JSON file with any of these options')
	.check(({platform, log}) => {
		if (platform === '' && log === undefined) {
			throw new Error('Missing required argument: platform');
		}

		return true;
	})
	.version(false);

const documents = (kind: DocumentKind) => (command: Parser) =>
	objectCommands(command, kind);

parser
	.command('contract', 'customers and their limits', documents('contract'))
	.command(
		'service',
		'services and the load that their servers can take',
		documents('service'),
	)
	.command('backend-server', 'backend servers', (command: Parser) =>
		inOutCommands(objectCommands(command, 'backend-server'), 'backend-server'),
	)
	.command('domain', 'failure domains', (command: Parser) =>
		inOutCommands(
			objectCommands(command, 'failure-domain'),
			'failure-domain',
			(name) => ({
				failureDomain: name,
				region: 'main',
				out: false,
			}),
		),
	)
	.command('vm', "the system's own VMs", (command: Parser) =>
		goneCommand(
			inOutCommands(objectCommands(command, 'vm'), 'vm', (name) => ({
				vm: name,
				out: false,
			})),
		),
	)
	.command(
		'settings',
		'settings that must be equal at all daemons',
		(command: Parser) => settingsCommands(command),
	);

ownerCommand(parser);
statusCommand(parser);
explainCommand(parser);

await parser
	.completion('completion', 'print a completion script for the shell')
	.demandCommand(1, 'a command is missing')
	.strict()
	.recommendCommands()
	.fail((message, error) => {
		process.stderr.write(`kingcuproute: ${message || error.message}\n`);
		process.exit(exitCodes.invalid);
	})
	.parseAsync();
