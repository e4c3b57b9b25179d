/** Starts the run of each call, or refuses it while the process drains. */
import type {Failure} from 'bramleystage';
import type {Call} from './call.js';
import {writeErrorResponse} from './error-response.js';
import {PlainRun} from './plain-run.js';
import type {RetryBudget} from './retry-budget.js';
import {StreamRun, type StreamRunContext} from './stream-run.js';

export type CallHandlerOptions = {
	readonly context: StreamRunContext;
	readonly retryBudget: Pick<RetryBudget, 'recordRequest'>;
	/** Finds the reason to refuse a call that might still be running when this process exits. */
	readonly findDrainRefusal: (call: Call) => Failure | undefined;
};

export const createCallHandler =
	({context, retryBudget, findDrainRefusal}: CallHandlerOptions) =>
	(call: Call): void => {
		const refusal = findDrainRefusal(call);
		if (refusal) {
			writeErrorResponse(call.response, refusal, true);
			context.recorder.recordEnd(call, {
				failure: refusal,
				attempts: 0,
				runs: 0,
				where: '',
			});
			return;
		}

		retryBudget.recordRequest(call.service.name);
		const run = call.service.pipeline
			? new StreamRun(call, context)
			: new PlainRun(call, context);
		run.start();
	};
