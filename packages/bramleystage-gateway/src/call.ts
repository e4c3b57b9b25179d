/** A caller's request after routing. */
import type {ServerResponse} from 'node:http';
import type {GatewayService, KeyHolder, Route} from 'bramleystage';
import type {CallerConnection} from './caller-connection.js';
import type {CallMetadata, Headers} from './platform-port.js';

export type Call = {
	readonly metadata: CallMetadata;
	readonly route: Route;
	readonly service: GatewayService;
	readonly holder?: KeyHolder;
	readonly method: string;
	readonly target: string;
	readonly headers: Headers;
	readonly body: Buffer;
	readonly response: ServerResponse;
	readonly caller: Pick<CallerConnection, 'hasLeft' | 'registerLeave'>;
	/** Earliest steady-clock time at which it may have arrived, in milliseconds. */
	readonly arrivedAt: number;
	/** Time from `arrivedAt` until it was read, in milliseconds. */
	readonly unreadMs: number;
	/** Steady-clock time of its deadline, in milliseconds. */
	readonly deadlineAt: number;
	/** Version of the configuration that routed it. */
	readonly version: number;
};

/** Whether the request may run more than once. */
export const isRepeatable = ({route}: Call) =>
	route.kind === 'idempotent' ||
	(route.kind === 'streaming' && route.isResumable);

/** Computes the priority that is sent to backend servers, 0 (most urgent) to 9. */
export const computePriority = ({
	route,
	holder,
}: Pick<Call, 'route' | 'holder'>) =>
	Math.max(0, Math.min(9, holder?.priority ?? route.priority));
