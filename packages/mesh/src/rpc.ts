/** A call between daemons: its path, and the codecs of its question and answer. */
import {Buffer} from 'node:buffer';
import type protobuf from 'protobufjs';
import minimal from 'protobufjs/minimal.js';

// Decodes 64-bit fields as numbers, as the generated types declare; exact up to 2^53.
Reflect.set(minimal.util, 'Long', undefined);
minimal.configure();

/** The parts of a generated message class that calls need. */
export type Codec<T> = {
	encode(message: T): protobuf.Writer;
	decode(reader: Uint8Array): T;
};

/** One kind of call, with question `Q` and answer `A`. */
export type Rpc<Q, A> = {
	/** The gRPC path, such as /fleet.Fleet/Beat. */
	readonly path: string;
	readonly question: Codec<Q>;
	readonly answer: Codec<A>;
	/** The answer may be long: the call is unary, so that no small call waits behind it. */
	readonly large?: true;
};

/** Encodes `message` for the wire. */
export function encodeMessage<T>(codec: Codec<T>, message: T) {
	return Buffer.from(codec.encode(message).finish());
}
