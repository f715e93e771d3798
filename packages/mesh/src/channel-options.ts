/** GRPC options of the connections between daemons. */
import {type ChannelOptions} from '@grpc/grpc-js';
import {type Millis} from '@kingcuproute/core';

const idleMs: Millis = 60_000;
const reconnectMs: Millis = 100;
const maxReconnectMs: Millis = 1000;
const maxMessageLen = 8 * 1024 * 1024;

/** Options of a channel to one peer. */
export const channelOptions: ChannelOptions = Object.fromEntries([
	['grpc.client_idle_timeout_ms', idleMs],
	['grpc.initial_reconnect_backoff_ms', reconnectMs],
	['grpc.min_reconnect_backoff_ms', reconnectMs],
	['grpc.max_reconnect_backoff_ms', maxReconnectMs],
	['grpc.max_receive_message_length', maxMessageLen],
	['grpc.use_local_subchannel_pool', 1],
	['grpc.enable_http_proxy', 0],
]);

/** Options of the listener. */
export const serverOptions: ChannelOptions = Object.fromEntries([
	['grpc.max_receive_message_length', maxMessageLen],
]);
