export {FakePlatform} from './platform/fake-platform.js';
export {FakeBackendServer, type Run} from './server/fake-backend-server.js';
export {noServerFaults, type ServerFaults} from './server/server-faults.js';
export {
	Deployment,
	type RunningDaemon,
	type RunningServer,
	type ServerOptions,
} from './deployment/deployment.js';
export {Child} from './deployment/child.js';
export {Link, type LinkFaults} from './link/link.js';
