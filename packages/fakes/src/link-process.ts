#!/usr/bin/env node
/** Runs a link as a process. Argument: its target (host:port). PUT its faults as JSON to the control port that it prints. */
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {json} from 'node:stream/consumers';
import {Link, linkFaultsSchema} from './link/link.js';

const link = new Link(process.argv[2] ?? '');
const address = await link.listen();
const control = createServer(async (req, res) => {
	link.setFaults(linkFaultsSchema.partial().parse(await json(req)));
	res.end('{}');
});
control.listen(0, '127.0.0.1', () => {
	const {port} = control.address() as AddressInfo;
	process.stdout.write(
		JSON.stringify({event: 'listening', address, control: port}) + '\n',
	);
});
