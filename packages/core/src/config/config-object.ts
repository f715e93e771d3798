/** The kinds of object that daemons keep and pass to each other, with their schemas. */
import {type z} from 'zod';
import {successionSchema} from '../ownership/succession.js';
import {sliceTableSchema} from '../ownership/slice-table.js';
import {keyTableSchema} from '../requests/keys/key-table.js';
import {backendServerSchema} from './backend-server.js';
import {commonSettingsSchema} from './common-settings.js';
import {contractSchema} from './contract.js';
import {failureDomainSchema} from './failure-domain.js';
import {serviceSchema} from './service.js';
import {vmSchema} from './vm.js';

export const kindSchemas = {
	contract: contractSchema,
	service: serviceSchema,
	'backend-server': backendServerSchema,
	'failure-domain': failureDomainSchema,
	vm: vmSchema,
	'common-settings': commonSettingsSchema,
	table: sliceTableSchema,
	'key-table': keyTableSchema,
	/** Not stored in the platform: passed between daemons only. */
	succession: successionSchema,
} as const;

/** A kind of object. */
export type Kind = keyof typeof kindSchemas;

/** The value of an object of kind `K`. */
export type KindValue<K extends Kind> = z.infer<(typeof kindSchemas)[K]>;

export const kinds = Object.keys(kindSchemas) as readonly Kind[];
