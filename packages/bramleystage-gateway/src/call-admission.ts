/**
 * Decides when calls that were read begin, and refuses those that can't begin in time. Calls
 * begin only after turns of the event loop in which the process read on: who has left is known
 * by then, as the end of a connection is read a turn after the request before it, and the work
 * for some callers doesn't keep the process from reading the others.
 */
import {
	CallQueue,
	computeBeginningMs,
	createFailure,
	createWorkWindow,
	type Failure,
	hasRoom,
	recordCallEnd,
	recordCallStart,
	recordDelay,
	type ServiceName,
	type WorkWindow,
} from 'bramleystage';
import {
	ArrivalWatch,
	type ArrivalWatchOptions,
	type WorkLeft,
} from './arrival-watch.js';
import {type Call, computePriority} from './call.js';
import type {OverloadState} from './overload-state.js';
import {computeTurnPatienceMs} from './turn-taker.js';

/** Share of the target latency for which a call may wait to begin. */
const maxWaitShare = 0.5;
/** Wait that is allowed in any case, in milliseconds: two rounds of reading and beginning. */
const minMaxWaitMs = 120;
/** Largest share of a call's time that its answer is expected to take. */
const maxAnswerShare = 0.5;
/** Time in which no round reads all that has arrived, after which the process counts as flooded, in milliseconds. */
const floodMs = 500;
/** Least time between two records of an overload, in milliseconds. */
const recordIntervalMs = 1000;

export type CallAdmissionOptions = Pick<
	ArrivalWatchOptions,
	'measureUnreadMs' | 'waitForTurn' | 'waitForTime' | 'readClock'
> & {
	/** Learns that a call has arrived, whether or not it begins. */
	readonly recordArrival?: (call: Call, now: number) => void;
	readonly beginCall: (call: Call) => void;
	readonly refuseCall: (call: Call, failure: Failure) => void;
	/** Finds the reason to refuse a call while the fleet is short; absent if nothing is shed. */
	readonly findShortage?: (call: Call, now: number) => Failure | undefined;
	/** Called each second in which calls were refused, with the state of each service. */
	readonly recordOverload: (state: OverloadState) => void;
	/** Builds the refusal of a caller that has some time left, in milliseconds; calls begin at the given interval. */
	readonly buildOverloadFailure: (
		remainingMs: number,
		intervalMs: number,
	) => Failure;
};

type WaitingCall = {
	readonly call: Call;
	/** Ends the wait for the caller to leave. */
	unregisterLeave: () => void;
};

/** The calls of one service. */
type ServiceCalls = {
	readonly queue: CallQueue<WaitingCall>;
	window: WorkWindow;
	/** Calls refused since the last record of an overload. */
	refusedCount: number;
};

export class CallAdmission {
	readonly arrivals: ArrivalWatch;
	readonly #services = new Map<ServiceName, ServiceCalls>();
	/** Calls of this turn of the event loop, which begin in a later one. */
	readonly #arrived: Call[] = [];
	/** Steady-clock times at which the process began to read, and at which a call began last, in milliseconds. */
	#round = {startedAt: 0, begunAt: 0};
	/** Steady-clock time since which no round has read all that had arrived, in milliseconds. */
	#behindSince = Number.POSITIVE_INFINITY;
	#recordedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: CallAdmissionOptions) {
		this.arrivals = new ArrivalWatch({
			...options,
			onStart: (now) => {
				this.#round = {...this.#round, startedAt: now};
			},
			handleTurn: (hasInput, now) => this.#handleTurn(hasInput, now),
		});
	}

	/** Whether callers have arrived faster than the process reads them for a while. */
	get isFlooded(): boolean {
		return this.options.readClock() - this.#behindSince >= floodMs;
	}

	/** Lets a call begin as soon as its turn comes, or refuses it. */
	add(call: Call, now: number): void {
		this.arrivals.recordInput(now);
		this.options.recordArrival?.(call, now);
		this.#arrived.push(call);
	}

	/** Records that a call has ended that had begun. */
	recordEnd({service}: Call): void {
		const calls = this.#openService(service.name);
		calls.window = recordCallEnd(calls.window);
	}

	/** Records the time from sending a call until its answer began, or for which it has not begun, in milliseconds. */
	recordDelay({service, route}: Call, delayMs: number, now: number): void {
		const calls = this.#openService(service.name);
		calls.window = recordDelay(
			calls.window,
			delayMs,
			route.latencyTargetMs,
			now,
		);
	}

	/** Builds the refusal of a caller whose request is not read, and which has some time left, in milliseconds. */
	buildUnreadFailure(remainingMs: number): Failure {
		const intervals = [...this.#services.values()].map(
			({queue}) => queue.intervalMs,
		);
		return this.options.buildOverloadFailure(
			remainingMs,
			Math.max(0, ...intervals),
		);
	}

	#openService(name: ServiceName): ServiceCalls {
		const known = this.#services.get(name);
		if (known) {
			return known;
		}

		const calls = {
			queue: new CallQueue<WaitingCall>(),
			window: createWorkWindow(),
			refusedCount: 0,
		};
		this.#services.set(name, calls);
		return calls;
	}

	#handleTurn(hasInput: boolean, now: number): WorkLeft {
		const beginningMs = computeBeginningMs(this.#round, hasInput, now);
		if (beginningMs !== undefined) {
			this.#behindSince = hasInput
				? Math.min(this.#behindSince, now)
				: Number.POSITIVE_INFINITY;
			this.#beginCalls(beginningMs, now);
		}

		for (const call of this.#arrived.splice(0)) {
			this.#enqueue(call, this.options.readClock());
		}

		const waiting = [...this.#services.values()].filter(
			({queue}) => queue.size > 0,
		);
		if (waiting.length === 0) {
			return 'nothing';
		}

		return waiting.some(({window}) => hasRoom(window)) ? 'ready' : 'blocked';
	}

	/** Begins calls, of each service in turn, for a time in milliseconds, and ends the round. */
	#beginCalls(beginningMs: number, startedAt: number): void {
		let now = startedAt;
		let {begunAt} = this.#round;
		let waiting = [...this.#services.values()];
		while (waiting.length > 0 && now - startedAt < beginningMs) {
			const next = waiting.shift();
			if (next && this.#tryBeginNext(next, now)) {
				waiting = [...waiting, next];
				begunAt = now;
			}

			now = this.options.readClock();
		}

		for (const calls of this.#services.values()) {
			for (const {call, unregisterLeave} of calls.queue.removeLate(now)) {
				unregisterLeave();
				this.#refuse(call, calls);
			}
		}

		if (now - this.#recordedAt >= recordIntervalMs) {
			this.#recordOverload(now);
		}

		this.#round = {startedAt: now, begunAt};
	}

	#tryBeginNext(calls: ServiceCalls, now: number): boolean {
		const next = hasRoom(calls.window) ? calls.queue.take(now) : undefined;
		if (next) {
			next.unregisterLeave();
			calls.window = recordCallStart(calls.window);
			this.options.beginCall(next.call);
		}

		return next !== undefined;
	}

	#enqueue(call: Call, now: number): void {
		const {service, route, arrivedAt, deadlineAt, caller, holder} = call;
		if (caller.hasLeft) {
			this.#refuseLeft(call);
			return;
		}

		const refusal = this.options.findShortage?.(call, now);
		if (refusal) {
			this.options.refuseCall(call, refusal);
			return;
		}

		const calls = this.#openService(service.name);
		const {queue} = calls;
		const answerMs = Math.min(
			route.latencyTargetMs,
			(deadlineAt - arrivedAt) * maxAnswerShare,
		);
		const waiting: WaitingCall = {call, unregisterLeave: () => undefined};
		const isAdded = queue.tryAdd(
			{
				value: waiting,
				customer: holder?.customer ?? '',
				priority: computePriority(call),
				latestStartAt: Math.min(
					deadlineAt - answerMs,
					arrivedAt + computeTurnPatienceMs(route),
				),
				maxWaitMs: Math.max(minMaxWaitMs, route.latencyTargetMs * maxWaitShare),
			},
			now,
		);
		if (!isAdded) {
			this.#refuse(call, calls);
			return;
		}

		waiting.unregisterLeave = caller.registerLeave(() => {
			queue.remove(waiting);
			this.#refuseLeft(call);
		});
	}

	#refuseLeft(call: Call): void {
		this.options.refuseCall(
			call,
			createFailure('callerLeft', 'The caller ended its connection.'),
		);
	}

	#refuse(call: Call, calls: ServiceCalls): void {
		calls.refusedCount++;
		const {refuseCall, buildOverloadFailure, readClock} = this.options;
		const remainingMs = call.deadlineAt - readClock();
		refuseCall(call, buildOverloadFailure(remainingMs, calls.queue.intervalMs));
	}

	#recordOverload(now: number): void {
		this.#recordedAt = now;
		for (const [service, calls] of this.#services) {
			const {queue, window, refusedCount: refused} = calls;
			if (refused > 0) {
				this.options.recordOverload({
					service,
					refused,
					waiting: queue.size,
					running: window.running,
					limit: window.limit,
					intervalMs: queue.intervalMs,
					roundMs: now - this.#round.startedAt,
				});
				calls.refusedCount = 0;
			}
		}
	}
}
