/** The identity of this daemon: its VM, its incarnation and its address. */
import {type Member} from '@kingcuproute/core';

export {type Member} from '@kingcuproute/core';

/** This daemon's identity; its address is known once the mesh listens. */
export class Identity {
	/** Where other daemons reach this one, host:port. */
	address = '';

	constructor(
		readonly vm: string,
		readonly failureDomain: string,
		readonly incarnation: string,
		/** Address given to other daemons instead of the one that the mesh listens on. */
		private readonly advertised?: string,
	) {}

	get id(): string {
		return `${this.vm}.${this.incarnation}`;
	}

	/** Sets the address that the mesh listens on; an advertised address takes precedence. */
	setListenAddress(address: string): void {
		this.address = this.advertised ?? address;
	}

	member(): Member {
		return {
			id: this.id,
			vm: this.vm,
			failureDomain: this.failureDomain,
			address: this.address,
		};
	}
}
