export {Daemon, type Ports} from './daemon.js';
export {
	parseSettings,
	readSettings,
	type Settings,
} from './settings/settings.js';
