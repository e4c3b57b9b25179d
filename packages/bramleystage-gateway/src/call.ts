/** A caller's request as the desks take it. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {GatewayService, KeyHolder, Route} from 'bramleystage';
import type {CallFacts, Headers} from './platform-port.js';

export type Call = {
	readonly facts: CallFacts;
	readonly route: Route;
	readonly service: GatewayService;
	readonly holder?: KeyHolder;
	readonly method: string;
	readonly target: string;
	readonly headers: Headers;
	readonly body: Buffer;
	readonly request: IncomingMessage;
	readonly response: ServerResponse;
	/** Present time when its head was read, in milliseconds. */
	readonly arrivedAt: number;
	/** Present time at which the final answer is due, in milliseconds. */
	readonly dueAt: number;
	/** Number of the configuration that routed it. */
	readonly version: number;
};

/** Whether the request may run more than once. */
export const isRepeatable = ({route}: Call) =>
	route.kind === 'idempotent' ||
	(route.kind === 'streaming' && route.isResumable);

/** Urgency that backend servers are told, 0 is the first. */
export const readPriority = ({route, holder}: Call) =>
	Math.max(0, Math.min(9, holder?.priority ?? route.priority));
