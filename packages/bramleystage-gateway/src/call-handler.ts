/** Starts the run of each call, or refuses it while the process drains or has too many. */
import {
	computeServiceCapacity,
	createFailure,
	type Failure,
	type Logger,
	ReturnSchedule,
	unmeasuredLoad,
} from 'bramleystage';
import {CallAdmission, type CallAdmissionOptions} from './call-admission.js';
import type {Call} from './call.js';
import type {DemandWatch} from './demand-watch.js';
import {writeErrorResponse} from './error-response.js';
import {LoadShedding, type ReadFleetLoad} from './load-shedding.js';
import type {OpenCalls} from './open-calls.js';
import {PlainRun} from './plain-run.js';
import {RequestArrivals} from './request-arrivals.js';
import type {RetryBudget} from './retry-budget.js';
import {createSheddingRecorder} from './shedding-recorder.js';
import {StreamRun, type StreamRunContext} from './stream-run.js';

export type CallHandlerOptions = {
	readonly context: Omit<StreamRunContext, 'admission' | 'trySpendRetry'>;
	readonly demand: Pick<
		DemandWatch,
		'recordAdmission' | 'recordArrival' | 'recordEnd'
	>;
	readonly retryBudget: Pick<RetryBudget, 'recordRequest' | 'trySpendRetry'>;
	readonly openCalls: Pick<OpenCalls, 'add' | 'recordEnd'>;
	/** Finds the reason to refuse a call that might still be running when this process exits. */
	readonly findDrainRefusal: (call: Call) => Failure | undefined;
	/** Reads the load of all gateways, by which calls are shed; absent if none are. */
	readonly readFleetLoad?: ReadFleetLoad;
	readonly logger: Logger;
};

const msPerSecond = 1000;

/** Creates what starts the run of a call, and tells the admission how it goes on. */
function createCallHandler(
	{
		context: base,
		demand,
		retryBudget,
		openCalls,
		findDrainRefusal,
	}: CallHandlerOptions,
	admission: CallAdmission,
): (call: Call) => void {
	const {readClock} = base;
	const createContext = (): StreamRunContext => {
		const arrivals = new RequestArrivals(readClock);
		return {
			...base,
			openAttempt: arrivals.recordAttempts(base.openAttempt),
			trySpendRetry: (service) => retryBudget.trySpendRetry(service, arrivals),
			admission: {
				recordDelay: admission.recordDelay.bind(admission),
				recordEnd(call: Call) {
					arrivals.recordEnd();
					demand.recordEnd(call, readClock());
					openCalls.recordEnd(call, readClock());
					admission.recordEnd(call);
				},
			},
		};
	};

	return (call) => {
		const refusal = findDrainRefusal(call);
		if (refusal) {
			refuseCall(base, call, refusal);
			admission.recordEnd(call);
			return;
		}

		demand.recordAdmission(call, readClock());
		retryBudget.recordRequest(call.service.name);
		const context = createContext();
		const run = call.service.pipeline
			? new StreamRun(call, context)
			: new PlainRun(call, context);
		openCalls.add(call, {
			begunAt: readClock(),
			stop() {
				run.stop();
			},
		});
		run.tryNextAttempt();
	};
}

/** Creates what refuses calls while the fleet is short of engines. */
function createLoadShedding({
	context: {fleet, recorder, drawRandom},
	readFleetLoad = () => unmeasuredLoad,
	logger,
}: CallHandlerOptions): LoadShedding {
	return new LoadShedding({
		readFleetLoad,
		readCapacity: ({name, pipeline}) =>
			pipeline
				? computeServiceCapacity(pipeline, fleet.listUsable(name, true))
				: {slots: 0, tokens: 0},
		drawRandom,
		...createSheddingRecorder(logger, recorder.registry),
	});
}

/** Creates the admission of calls, which starts or refuses each. */
export function createCallAdmission(
	options: CallHandlerOptions &
		Pick<
			CallAdmissionOptions,
			'measureUnreadMs' | 'waitForTurn' | 'waitForTime'
		>,
): CallAdmission {
	const {context} = options;
	const {readClock, drawRandom} = context;
	const returns = new ReturnSchedule(drawRandom);
	const shedding = createLoadShedding(options);
	const admission: CallAdmission = new CallAdmission({
		...options,
		readClock,
		recordArrival(call, now) {
			options.demand.recordArrival(call, now);
		},
		findShortage: (call, now) => shedding.findRefusal(call, now),
		beginCall(call) {
			handleCall(call);
		},
		refuseCall(call, failure) {
			refuseCall(context, call, failure);
		},
		recordOverload(state) {
			context.recorder.recordOverload(state);
		},
		buildOverloadFailure(remainingMs, intervalMs) {
			const returnMs = returns.take({intervalMs, remainingMs}, readClock());
			return createFailure('overloaded', 'The gateway has too many requests.', {
				retryAfterSeconds: returnMs / msPerSecond,
			});
		},
	});
	const handleCall = createCallHandler(options, admission);
	return admission;
}

/** Refuses a call that no run was started for. */
function refuseCall(
	{recorder, isStopping}: Pick<StreamRunContext, 'recorder' | 'isStopping'>,
	call: Call,
	failure: Failure,
): void {
	writeErrorResponse(call.response, failure, isStopping());
	recorder.recordEnd(call, {failure, attempts: 0, runs: 0, where: ''});
}
