/** One run of a daemon, from start to stop. */
export type DaemonRun = {
	/** VM and incarnation, such as vm-1.k2f9x0; never reused. */
	readonly id: string;
	readonly vm: string;
	readonly failureDomain: string;
};
