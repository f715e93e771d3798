#!/usr/bin/env node
/** Runs the stand-in platform as a process; prints its port as JSON. */
import process from 'node:process';
import {FakePlatform} from './platform/fake-platform.js';

const port = await new FakePlatform().listen(Number(process.argv[2] ?? 0));
process.stdout.write(JSON.stringify({event: 'listening', port}) + '\n');
