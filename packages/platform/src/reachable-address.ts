/** Address at which a process can be reached: `host:port`, valid as part of a URL. */
import {z} from 'zod';

const expectedForm = 'HOST:PORT, as in 10.0.1.1:7000 or [fd00::1]:7000';
export const maxPort = 65_535;
const hostAndPort = /^(?:[\w.-]{1,255}|\[[\da-f:.]{2,45}]):(\d{1,5})$/i;

function isReachable(address: string): boolean {
	const port = Number(hostAndPort.exec(address)?.[1]);
	return port >= 1 && port <= maxPort && URL.canParse(`http://${address}`);
}

export const reachableAddress = z.string().refine(isReachable, expectedForm);
