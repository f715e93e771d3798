/** Serializers and method definitions in the form that gRPC takes. */
import {type ServiceDefinition} from '@grpc/grpc-js';
import {encodeMessage, type Codec, type Rpc} from './rpc.js';

/** Encodes one kind of message to bytes and decodes it. */
export type Serializer<T> = {
	readonly encode: (message: T) => ReturnType<typeof encodeMessage>;
	readonly decode: (bytes: Uint8Array) => T;
};

/** GRPC's definition of one kind of call. */
export type MethodDefinition = ServiceDefinition[string];

/** Whether a call has one message each way or a stream of them. */
export type CallShape = 'unary' | 'duplex';

export function serializerOf<T>(codec: Codec<T>): Serializer<T> {
	return {
		encode: (message) => encodeMessage(codec, message),
		decode: (bytes) => codec.decode(bytes),
	};
}

/** The definition of `rpc` for gRPC. */
export function definitionOf<Q, A>(
	{path}: Rpc<Q, A>,
	shape: CallShape,
	question: Serializer<Q>,
	answer: Serializer<A>,
): MethodDefinition {
	return {
		path,
		requestStream: shape === 'duplex',
		responseStream: shape === 'duplex',
		requestSerialize: question.encode,
		requestDeserialize: question.decode,
		responseSerialize: answer.encode,
		responseDeserialize: answer.decode,
	};
}
