/**
 * State machine of one model request at the entry. It opens every stage of a
 * pipeline, starts the first stage once all are open, and delivers each
 * position of the answer to the caller exactly once, however many attempts run.
 * When a stage is lost, only that stage is replaced, under a new attempt number
 * that fences the old attempt. If no replacement is available, a new pipeline
 * resumes from the prompt and the tokens already delivered.
 */
import type {Milliseconds} from '../protocol/decision.js';
import {toPosition} from '../protocol/ids.js';
import type {Stage, StageOpened, Token} from '../protocol/messages.js';
import {createFailure} from '../protocol/result-codes.js';
import {appendItem} from '../state/append-list.js';
import type {ModelRunState} from '../state/model-run-state.js';
import {
	decideFailed,
	decideNewPipeline,
	decideStageLost,
	stopWithFailure,
} from './model-run-loss.js';
import {
	createOpenStageCommand,
	decideNewLineage,
	decideNextAttempt,
	isResumable,
	listStageStartCommands,
	listStartCommands,
} from './model-run-opening.js';
import type {
	ModelRunCommand,
	ModelRunContext,
	ModelRunDecision,
	ModelRunEvent,
} from './model-run-protocol.js';

/**
 * Number of delivered tokens after which an acknowledgement is sent to the
 * stages.
 */
const tokensPerAcknowledgement = 32;
/** Delay before the next search for a pipeline, in milliseconds. */
const pipelineRetryDelayMs = 100;

/**
 * Returns the next state of a model request and the commands that an event
 * causes.
 */
export function decideModelRun(
	state: ModelRunState,
	event: ModelRunEvent,
	now: Milliseconds,
	context: ModelRunContext,
): ModelRunDecision {
	if (state.phase === 'done') {
		return [state, []];
	}

	switch (event.type) {
		case 'started': {
			return [state, [{type: 'choose', excluding: []}]];
		}

		case 'chosen': {
			return state.phase === 'choosing'
				? decideChosen(state, event, now, context)
				: [state, []];
		}

		case 'replaced': {
			return decideReplaced(state, event.stages, now);
		}

		case 'retryChoice': {
			return state.phase === 'choosing'
				? [state, [{type: 'choose', excluding: state.avoided}]]
				: [state, []];
		}

		case 'stageOpened': {
			return decideStageOpened(state, event.message);
		}

		case 'token': {
			return decideToken(state, event.token);
		}

		case 'failed': {
			return event.message.attempt === state.attempt
				? decideFailed(state, event.host, event.message, context)
				: [state, []];
		}

		case 'hostLost': {
			const isStageHost = state.stages.some(
				(stage) =>
					stage.host === event.host && stage.incarnation === event.incarnation,
			);
			return isStageHost
				? decideStageLost(state, event.host, context)
				: [state, []];
		}

		case 'hostReconnected': {
			return decideHostReturned(state, event, now, context);
		}

		case 'deadline': {
			return stopWithFailure(
				state,
				createFailure('deadlinePassed', 'The deadline passed.', {
					outcome: state.deliveredTokens.length > 0 ? 'ran' : 'unknown',
				}),
			);
		}

		case 'callerDisconnected': {
			return stopWithFailure(
				state,
				createFailure('cancelled', 'The caller closed the connection.'),
			);
		}
	}
}

function decideChosen(
	state: ModelRunState,
	{stages, failure}: Extract<ModelRunEvent, {type: 'chosen'}>,
	now: Milliseconds,
	{recovery}: ModelRunContext,
): ModelRunDecision {
	if (stages) {
		return decideNewLineage(state, stages, recovery, now);
	}

	if (state.attempt > 0) {
		// Failed hosts may recover before the deadline, so none is excluded from
		// now on.
		return [
			{...state, avoided: []},
			[{type: 'chooseLater', delayMs: pipelineRetryDelayMs}],
		];
	}

	const reason =
		failure ??
		createFailure('noPipeline', 'No live engines cover all layers.', {
			retryAfterSeconds: 1,
		});
	return stopWithFailure(state, {...reason, outcome: 'not-run'});
}

function decideReplaced(
	state: ModelRunState,
	stages: readonly Stage[] | undefined,
	now: Milliseconds,
): ModelRunDecision {
	if (state.phase !== 'choosing') {
		return [state, []];
	}

	return stages
		? decideNextAttempt(state, stages, now)
		: decideNewPipeline(state);
}

function decideStageOpened(
	state: ModelRunState,
	message: StageOpened,
): ModelRunDecision {
	if (state.phase !== 'opening' || message.attempt !== state.attempt) {
		return [state, []];
	}

	const opened = new Map(state.opened).set(message.index, message);
	const next: ModelRunState = {...state, opened};
	if (opened.size < state.stages.length) {
		return [next, []];
	}

	return isResumable(next)
		? [{...next, phase: 'running'}, listStartCommands(next)]
		: decideNewPipeline(next);
}

function decideToken(state: ModelRunState, token: Token): ModelRunDecision {
	// Each position is delivered once: duplicates and tokens of other attempts
	// are dropped.
	if (
		token.position !== state.deliveredTokens.length ||
		token.attempt !== state.attempt
	) {
		return [state, []];
	}

	const next: ModelRunState = {
		...state,
		deliveredTokens: appendItem(state.deliveredTokens, token.token),
		lostBackends: 0,
	};
	const deliverToken: ModelRunCommand = {type: 'deliverToken', token};
	if (!token.finish) {
		const [acknowledged, commands] = decideAcknowledge(next);
		return [acknowledged, [deliverToken, ...commands]];
	}

	return [
		{...next, phase: 'done'},
		[
			deliverToken,
			{type: 'finish'},
			{type: 'cancelStages', stages: state.stages, upTo: state.attempt},
		],
	];
}

function decideAcknowledge(state: ModelRunState): ModelRunDecision {
	const position = toPosition(state.deliveredTokens.length);
	if (position - state.acknowledged < tokensPerAcknowledgement) {
		return [state, []];
	}

	// Only the first and the last stage buffer tokens until the entry
	// acknowledges them.
	const stages = state.stages.filter(
		(_, index) => index === 0 || index + 1 === state.stages.length,
	);
	return [
		{...state, acknowledged: position},
		[{type: 'acknowledge', stages, position}],
	];
}

function decideHostReturned(
	state: ModelRunState,
	{host, incarnation}: Extract<ModelRunEvent, {type: 'hostReconnected'}>,
	now: Milliseconds,
	context: ModelRunContext,
): ModelRunDecision {
	const index = state.stages.findIndex((stage) => stage.host === host);
	const stage = state.stages[index];
	if (!stage) {
		return [state, []];
	}

	if (stage.incarnation !== incarnation) {
		return decideStageLost(state, host, context);
	}

	if (state.phase === 'opening' && !state.opened.has(index)) {
		return [state, [createOpenStageCommand(state, index, now)]];
	}

	return [
		state,
		state.phase === 'running' ? listStageStartCommands(state, index) : [],
	];
}
