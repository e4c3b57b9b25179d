/** How requests and their attempts at backend servers ended, as they are recorded. */
import type {AttemptOutcome, BackendId, Failure} from 'bramleystage';

/** How a request ended. */
export type CallEnd = {
	/** Absent if an answer of a backend server was forwarded. */
	readonly failure?: Failure;
	readonly status?: number;
	readonly attempts: number;
	/** Address of the last backend server, or the stages of the last path. */
	readonly where: string;
	/** Runs that count towards the route's limit. */
	readonly runs: number;
	/** Steady-clock time of the first event or of the answer, in milliseconds. */
	readonly answerStartedAt?: number;
	/** Steady-clock time at which the request was last sent to a server, in milliseconds. */
	readonly sentAt?: number;
};

/** How far the answer of an attempt came before the attempt ended. */
export type AttemptProgress = 'none' | 'head' | 'events';

/** How one attempt at a backend server ended. */
export type AttemptEnd = {
	readonly outcome: AttemptOutcome | 'answered';
	readonly backend: BackendId;
	/** Address of the backend server, or the stages of the path. */
	readonly where: string;
	readonly detail: string;
	readonly progress: AttemptProgress;
	/** Runs so far that count towards the route's limit. */
	readonly runs: number;
	/** Whether it may have run but doesn't count as a run, as its instance has ended. */
	readonly isUncounted: boolean;
};
