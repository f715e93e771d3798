#!/usr/bin/env node
/**
 * Installs the packages of package-lock.json, unless exactly these are installed
 * already, which a digest of the lock file in node_modules shows.
 */
import {spawnSync} from 'node:child_process';
import {createHash} from 'node:crypto';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = new URL('../', import.meta.url);
const digestFile = new URL('node_modules/.kingcuproute-lock', root);
const digest = createHash('sha256')
	.update(readFileSync(new URL('package-lock.json', root)))
	.digest('hex');

if (!existsSync(digestFile) || readFileSync(digestFile, 'utf8') !== digest) {
	const {status} = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], {
		cwd: fileURLToPath(root),
		stdio: 'inherit',
	});
	if (status !== 0) {
		process.exit(status ?? 1);
	}

	writeFileSync(digestFile, digest);
}
