/**
 * What follows the loss of a stage of a model request, or a failure that an agent
 * reports: another host for the stage, a new pipeline, or the end of the request.
 */
import type {HostId} from '../protocol/ids.js';
import type {Failed} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import type {ModelRunState} from '../state/model-run-state.js';
import type {ModelRunContext, ModelRunDecision} from './model-run-protocol.js';

/** Backend servers that a request may lose without a further token; its content may be what ends them. */
const maxLostBackends = 3;

/** Cancels the current stages and requests a complete new pipeline. */
export function decideNewPipeline(state: ModelRunState): ModelRunDecision {
	return [
		{...state, phase: 'choosing', stages: []},
		[
			{type: 'cancelStages', stages: state.stages, upTo: state.attempt},
			{type: 'choose', excluding: state.avoided},
		],
	];
}

/** Decides what follows a failure that an agent reports. */
export function decideFailed(
	state: ModelRunState,
	from: HostId,
	message: Failed,
	context: ModelRunContext,
): ModelRunDecision {
	const host = message.lost ?? from;
	const avoided = [...new Set([...state.avoided, host])];
	// Work moved off a lost backend server is not charged to the retry budget,
	// since no host repeats it.
	const isBackendLost = message.result === 'backendLost';
	const isOwnBackend = isBackendLost && message.lost === undefined;
	const lostBackends = state.lostBackends + (isOwnBackend ? 1 : 0);
	const mayRetry =
		lostBackends < maxLostBackends && (isBackendLost || context.allowRetry());
	return mayRetry
		? decideStageLost({...state, avoided, lostBackends}, host, context)
		: stopWithFailure(
				state,
				createFailure(message.result, message.detail, {
					outcome:
						state.deliveredTokens.length > 0 ? 'unknown' : message.outcome,
				}),
			);
}

/** Decides what follows the loss of a stage's host. */
export function decideStageLost(
	state: ModelRunState,
	host: HostId,
	{recovery}: ModelRunContext,
): ModelRunDecision {
	const index = state.stages.findIndex((stage) => stage.host === host);
	const lost = state.stages[index];
	if (!lost) {
		return [state, []];
	}

	if (recovery !== 'replace') {
		return decideNewPipeline(state);
	}

	return [
		{...state, phase: 'choosing'},
		[
			{type: 'cancelStages', stages: [lost], upTo: state.attempt},
			{
				type: 'chooseReplacement',
				stages: state.stages,
				index,
				excluding: [...state.avoided, host],
			},
		],
	];
}

/** Ends the request with a failure and cancels its stages. */
export function stopWithFailure(
	state: ModelRunState,
	failure: Failure,
): ModelRunDecision {
	return [
		{...state, phase: 'done'},
		[
			{type: 'failCaller', failure},
			{type: 'cancelStages', stages: state.stages, upTo: state.attempt},
		],
	];
}
