/** A configuration as operators write it: a route split over two services, and a plain one. */
export const routingDocument = {
	version: 'r7',
	routes: {
		columns: [
			'name',
			'host',
			'pathPrefix',
			'routeKind',
			'timeoutMs',
			'targetLatencyMs',
			'priority',
			'trafficSplit',
			'maxAttempts',
			'service',
		],
		rows: [
			[
				'split',
				'Shop.example',
				'/a/',
				'safe',
				1500,
				600,
				2,
				[
					{service: 's', weight: 90},
					{service: 't', weight: 10},
				],
				2,
				null,
			],
			['plain', 'shop.example', '/b/', 'upload', 1200, 800, 1, null, 2, 's'],
		],
	},
	services: {
		columns: [
			'name',
			'healthPath',
			'maxConns',
			'protocol',
			'tls',
			'warmupS',
			'coldPerS',
			'sharded',
			'warmS',
			'grants',
		],
		rows: [
			['s', '/health', 130, 'h1', false, 3, 2.8, true, 5, 'call'],
			['t', '/health', 130, 'h1', false, 3, 2.8, null, null, null],
		],
	},
	limits: {
		maxHeaderBytes: 16_384,
		maxBodyBytes: 67_108_864,
		headerTimeoutMs: 3000,
		idleTimeoutMs: 15_000,
	},
};
