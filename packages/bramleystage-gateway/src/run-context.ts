/** What the runs of all requests of a gateway share. */
import type {ServiceName} from 'bramleystage';
import type {CallAdmission} from './call-admission.js';
import type {CrashGuard} from './crash-guard.js';
import type {DemandWatch} from './demand-watch.js';
import type {CheckEnd} from './end-check.js';
import type {Fleet} from './fleet.js';
import type {InstanceWatch} from './instance-watch.js';
import type {LimitWatch} from './limit-watch.js';
import type {Permits} from './permits.js';
import type {HeaderPort} from './platform-port.js';
import type {RequestRecorder} from './request-recorder.js';
import type {OpenTimedAttempt} from './timed-attempt.js';

export type RunContext = {
	readonly fleet: Fleet;
	readonly instances: InstanceWatch;
	readonly limits: Pick<LimitWatch, 'recordAnswer' | 'recordSend'>;
	readonly permits: Pick<Permits, 'acquire' | 'tryAcquire'>;
	readonly crashGuard: Pick<
		CrashGuard,
		| 'computeAllowedEnds'
		| 'findRefusal'
		| 'isSuspect'
		| 'recordCut'
		| 'recordSound'
	>;
	/** Learns how calls that have begun go on, to decide how many may. */
	readonly admission: Pick<CallAdmission, 'recordDelay' | 'recordEnd'>;
	/** Estimates the tokens of requests, and learns how long answers are. */
	readonly demand: Pick<DemandWatch, 'countExpectedTokens' | 'recordAnswer'>;
	readonly openAttempt: OpenTimedAttempt;
	readonly checkEnd: CheckEnd;
	readonly headers: HeaderPort;
	readonly recorder: RequestRecorder;
	/** Spends one retry of the service's retry budget; returns false if none is left. */
	readonly trySpendRetry: (service: ServiceName) => boolean;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
	/** Whether the process is draining. */
	readonly isStopping: () => boolean;
	/** Whether the process exits so soon that a stream is passed on only when it is whole. */
	readonly holdsStreams: () => boolean;
	readonly drawRandom: () => number;
};
