/**
 * The entry's side of one model request. It opens every stage of a pipeline,
 * starts the first once all are open, and gives the caller each position of
 * the answer once, whatever attempts ran. When a stage is lost the request is
 * resumed on another pipeline from the prompt and the tokens already given.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import {
	type Attempt,
	type HostId,
	toAttempt,
	toPosition,
} from '../protocol/ids.js';
import type {Failed, Stage, Token} from '../protocol/messages.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';
import type {AllowRetry} from './call-dispatch.js';

export type ModelRunState = {
	readonly phase: 'choosing' | 'opening' | 'running' | 'done';
	readonly deadline: Milliseconds;
	readonly attempt: Attempt;
	readonly stages: readonly Stage[];
	/** Indexes of stages that are open in this attempt. */
	readonly opened: ReadonlySet<number>;
	/** Tokens given to the caller, by position. */
	readonly given: readonly number[];
	/** Hosts that failed in an earlier attempt. */
	readonly avoided: readonly HostId[];
};

export type ModelRunEvent =
	| {readonly type: 'started'}
	/** The routing decision; no stages when no pipeline covers the model. */
	| {
			readonly type: 'chosen';
			readonly stages: readonly Stage[] | undefined;
			/** Why there are no stages. */
			readonly failure?: Failure;
	  }
	| {
			readonly type: 'stageOpened';
			readonly attempt: Attempt;
			readonly index: number;
	  }
	| {readonly type: 'token'; readonly token: Token}
	| {readonly type: 'failed'; readonly host: HostId; readonly message: Failed}
	| {
			readonly type: 'sessionLost';
			readonly host: HostId;
			readonly incarnation: Stage['incarnation'];
	  }
	| {readonly type: 'deadline'}
	| {readonly type: 'callerGone'};

export type ModelRunCommand =
	| {readonly type: 'choose'; readonly excluding: readonly HostId[]}
	| {
			readonly type: 'openStages';
			readonly attempt: Attempt;
			readonly stages: readonly Stage[];
			readonly given: readonly number[];
			readonly deadlineMs: Milliseconds;
	  }
	| {
			readonly type: 'runFirst';
			readonly attempt: Attempt;
			readonly stage: Stage;
			readonly given: readonly number[];
	  }
	| {
			readonly type: 'cancelStages';
			readonly stages: readonly Stage[];
			readonly upTo: Attempt;
	  }
	| {readonly type: 'giveToken'; readonly token: Token}
	| {readonly type: 'finish'}
	| {readonly type: 'failCaller'; readonly failure: Failure};

export type ModelRunDecision = Decision<ModelRunState, ModelRunCommand>;

export function createModelRun(deadline: Milliseconds): ModelRunState {
	return {
		phase: 'choosing',
		deadline,
		attempt: toAttempt(0),
		stages: [],
		opened: new Set(),
		given: [],
		avoided: [],
	};
}

/** Decides what one event does to a model request. */
export function decideModelRun(
	state: ModelRunState,
	event: ModelRunEvent,
	now: Milliseconds,
	allowRetry: AllowRetry,
): ModelRunDecision {
	if (state.phase === 'done') {
		return [state, []];
	}

	switch (event.type) {
		case 'started': {
			return [state, [{type: 'choose', excluding: []}]];
		}

		case 'chosen': {
			return decideChosen(state, event, now);
		}

		case 'stageOpened': {
			return decideStageOpened(state, event.attempt, event.index);
		}

		case 'token': {
			return decideToken(state, event.token);
		}

		case 'failed': {
			return event.message.attempt === state.attempt
				? decideStageLost(state, event.host, allowRetry, event.message)
				: [state, []];
		}

		case 'sessionLost': {
			const isOurs = state.stages.some(
				(stage) =>
					stage.host === event.host && stage.incarnation === event.incarnation,
			);
			return isOurs
				? decideStageLost(state, event.host, allowRetry)
				: [state, []];
		}

		case 'deadline': {
			return decideGiveUp(
				state,
				createFailure('deadlinePassed', 'The deadline passed.', {
					outcome: state.given.length > 0 ? 'ran' : 'unknown',
				}),
			);
		}

		case 'callerGone': {
			return decideGiveUp(
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
): ModelRunDecision {
	if (state.phase !== 'choosing') {
		return [state, []];
	}

	if (!stages) {
		const known =
			failure ??
			createFailure('noPipeline', 'No live engines cover all layers.', {
				retryAfterSeconds: 1,
			});
		const outcome = state.attempt > 0 ? 'unknown' : 'not-run';
		return decideGiveUp(state, {...known, outcome});
	}

	const attempt = toAttempt(state.attempt + 1);
	return [
		{...state, phase: 'opening', attempt, stages, opened: new Set()},
		[
			{
				type: 'openStages',
				attempt,
				stages,
				given: state.given,
				deadlineMs: state.deadline - now,
			},
		],
	];
}

function decideStageOpened(
	state: ModelRunState,
	attempt: Attempt,
	index: number,
): ModelRunDecision {
	if (state.phase !== 'opening' || attempt !== state.attempt) {
		return [state, []];
	}

	const opened = new Set(state.opened).add(index);
	const [stage] = state.stages;
	if (opened.size < state.stages.length || !stage) {
		return [{...state, opened}, []];
	}

	return [
		{...state, phase: 'running', opened},
		[{type: 'runFirst', attempt, stage, given: state.given}],
	];
}

function decideToken(state: ModelRunState, token: Token): ModelRunDecision {
	// A position is a fact of the answer, so only its first arrival counts.
	if (
		token.position !== state.given.length ||
		token.attempt !== state.attempt
	) {
		return [state, []];
	}

	const given = [...state.given, token.token];
	if (!token.finish) {
		return [{...state, given}, [{type: 'giveToken', token}]];
	}

	return [
		{...state, given, phase: 'done'},
		[
			{type: 'giveToken', token},
			{type: 'finish'},
			{
				type: 'cancelStages',
				stages: state.stages,
				upTo: state.attempt,
			},
		],
	];
}

function decideStageLost(
	state: ModelRunState,
	host: HostId,
	allowRetry: AllowRetry,
	message?: Failed,
): ModelRunDecision {
	if (!allowRetry()) {
		const failure = message
			? createFailure(message.result, message.detail, {
					outcome: state.given.length > 0 ? 'unknown' : message.outcome,
				})
			: createFailure('retriesExhausted', 'A stage was lost.');
		return decideGiveUp(state, failure);
	}

	const avoided = [...state.avoided, host];
	return [
		{...state, phase: 'choosing', stages: [], avoided},
		[
			{
				type: 'cancelStages',
				stages: state.stages,
				upTo: state.attempt,
			},
			{type: 'choose', excluding: avoided},
		],
	];
}

function decideGiveUp(
	state: ModelRunState,
	failure: Failure,
): ModelRunDecision {
	return [
		{...state, phase: 'done'},
		[
			{type: 'failCaller', failure},
			{
				type: 'cancelStages',
				stages: state.stages,
				upTo: state.attempt,
			},
		],
	];
}

/** Position that the answer continues from. */
export const findNextPosition = (state: ModelRunState) =>
	toPosition(state.given.length);
