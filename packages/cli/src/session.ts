/** What every command works with: the platform, the daemons, a clock and the output. */
import {Clock} from '@kingcuproute/core';
import {Platform} from '@kingcuproute/platform';
import {inject, singleton} from 'tsyringe';
import {Daemons} from './daemons.js';
import {Output} from './output.js';

@singleton()
export class Session {
	constructor(
		@inject('Platform') readonly platform: Platform,
		@inject(Daemons) readonly daemons: Daemons,
		@inject('Clock') readonly clock: Clock,
		@inject('Output') readonly output: Output,
	) {}
}
