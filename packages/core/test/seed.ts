/** Gives all property tests of a run the seed that ava's configuration chose and printed. */
import process from 'node:process';
import fc from 'fast-check';

fc.configureGlobal({seed: Number(process.env.SEED)});
