/** Counters of the messages between daemons, and gauges of this daemon's state. */
import {type GrpcMesh} from '@kingcuproute/mesh';
import {Counter, Gauge, type Registry} from 'prom-client';
import {type ConfigTask} from './config-task.js';
import {type MembershipTask} from './membership-task.js';

const labelNames = ['path', 'direction'] as const;

/** Counts messages and bytes of the mesh, excluding the overhead of the transport. */
export function countMesh(mesh: GrpcMesh, registry: Registry): void {
	const registers = [registry];
	const messages = new Counter({
		name: 'kingcuproute_mesh_messages_total',
		help: 'Messages between daemons, by call and direction',
		labelNames,
		registers,
	});
	const bytes = new Counter({
		name: 'kingcuproute_mesh_bytes_total',
		help: 'Bytes of messages between daemons, by call and direction',
		labelNames,
		registers,
	});
	mesh.setObserver((path, direction, size) => {
		messages.inc({path, direction});
		bytes.inc({path, direction}, size);
	});
}

/** Registers gauges whose values are read on collection. */
export function gaugeFleet(
	config: ConfigTask,
	membership: MembershipTask,
	registry: Registry,
): void {
	const gauge = (name: string, help: string, read: () => number) =>
		new Gauge({
			name,
			help,
			registers: [registry],
			collect() {
				this.set(read());
			},
		});
	gauge(
		'kingcuproute_config_version',
		'Version up to which every change is in force here',
		() => config.version.value,
	);
	gauge('kingcuproute_store_up', 'Whether the platform answers: 1 or 0', () =>
		Number(config.store.value.up),
	);
	gauge(
		'kingcuproute_members',
		'Daemons taken to be alive',
		() => membership.members.value.length,
	);
}
