/** What the status and the headers of a backend server's answer mean for forwarding it. */
import type {Headers} from './platform-port.js';

/** Lowest status of a server's error. */
export const minErrorStatus = 500;
/** Status of a server that gave up at the request's deadline. */
const deadlineStatus = 504;
/** Status of a server that another one has replaced at its address. */
export const replacedStatus = 421;
/** Status of a server that refuses a request for now. */
export const refusedStatus = 503;
/** Hop-by-hop headers, which concern one connection only. */
const hopByHop = new Set([
	'connection',
	'keep-alive',
	'proxy-connection',
	'transfer-encoding',
	'upgrade',
]);

/** Lists the headers of an answer without the hop-by-hop ones. */
export const listEndToEndHeaders = (headers: Headers): Headers =>
	headers.filter(([name]) => !hopByHop.has(name.toLowerCase()));

/** Whether a status shows trouble of the server, and not only that the time was over. */
export const isServerError = (status: number): boolean =>
	status >= minErrorStatus && status !== deadlineStatus;
