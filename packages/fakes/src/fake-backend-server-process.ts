#!/usr/bin/env node
/** Runs a stand-in backend server as a process. Arguments: its options as JSON, its port. Prints its port as JSON. */
import process from 'node:process';
import {
	FakeBackendServer,
	type FakeBackendServerOptions,
} from './server/fake-backend-server.js';

const options = JSON.parse(process.argv[2] ?? '{}') as FakeBackendServerOptions;
const port = await new FakeBackendServer(options).listen(
	Number(process.argv[3] ?? 0),
);
process.stdout.write(JSON.stringify({event: 'listening', port}) + '\n');
