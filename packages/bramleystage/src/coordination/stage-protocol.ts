/** Events, commands and context of the stage state machine. */
import type {Decision} from '../protocol/decision.js';
import {type Attempt, type Position, toPosition} from '../protocol/ids.js';
import type {
	Cancel,
	Message,
	StageOpen,
	StageResume,
} from '../protocol/messages.js';
import type {Failure} from '../protocol/result-codes.js';
import type {StageInput, StageRecord} from '../state/stage-record.js';

/** Input of one engine step. */
export type StepInput =
	| {
			readonly kind: 'prompt';
			readonly prompt: string;
			readonly given: readonly number[];
	  }
	| {readonly kind: 'token'; readonly token: number}
	| {readonly kind: 'values'; readonly values: readonly number[]};

/** Output of one engine step: activations, or a token at the last layer. */
export type StepOutput = {
	readonly position: Position;
	readonly values: readonly number[];
	readonly token?: {
		readonly id: number;
		readonly text: string;
		readonly isEnd: boolean;
	};
	readonly promptTokens?: number;
	/** Prompt tokens that the engine's prefix cache spared. */
	readonly cachedTokens?: number;
};

export type StageEvent =
	| StageInput
	| {readonly type: 'opened'; readonly open: StageOpen}
	| {readonly type: 'resumed'; readonly message: StageResume}
	| {readonly type: 'stepped'; readonly output: StepOutput}
	| {readonly type: 'stepFailed'; readonly failure: Failure}
	/** The entry has received every token below this position. */
	| {readonly type: 'acknowledged'; readonly position: Position}
	/**
	 * A new session to the entry is open; messages on the previous one may be
	 * lost.
	 */
	| {readonly type: 'entryReconnected'}
	/** A new session to another stage's address is open. */
	| {readonly type: 'peerReconnected'; readonly address: string}
	/** Another stage's address is unreachable. */
	| {readonly type: 'peerLost'; readonly address: string}
	| {readonly type: 'cancelled'; readonly message: Cancel};

export type StageCommand =
	| {
			readonly type: 'closeSequence';
			readonly open: StageOpen;
			readonly sequence: Attempt;
	  }
	| {
			readonly type: 'runStep';
			readonly open: StageOpen;
			readonly sequence: Attempt;
			readonly position: Position;
			readonly input: StepInput;
	  }
	| {
			readonly type: 'sendToStage';
			readonly index: number;
			readonly open: StageOpen;
			readonly message: Message;
	  }
	| {readonly type: 'sendToEntry'; readonly message: Message};

export type StageDecision = Decision<StageRecord | undefined, StageCommand>;

/** State of the agent that stage decisions depend on. */
export type StageContext = {
	/**
	 * The agent is draining: it opens no new stage, but its open stages continue.
	 */
	readonly leaving: boolean;
	/** Returns why the agent can't run these layers, or undefined if it can. */
	readonly findMismatch: (open: StageOpen) => string | undefined;
	/** Whether `bytes` more bytes of activations may be retained. */
	readonly mayRetain: (bytes: number) => boolean;
};

/** Converts a message to a stage event; undefined for messages of other kinds. */
export function createStageEvent(message: Message): StageEvent | undefined {
	switch (message.type) {
		case 'stageOpen': {
			return {type: 'opened', open: message};
		}

		case 'stageRun': {
			return {type: 'run', message};
		}

		case 'stageResume': {
			return {type: 'resumed', message};
		}

		case 'activation': {
			return {type: 'activation', message};
		}

		case 'token': {
			return {type: 'token', message};
		}

		case 'acknowledge': {
			const position = message.position ?? toPosition(0);
			return {type: 'acknowledged', position};
		}

		case 'cancel': {
			return {type: 'cancelled', message};
		}

		default: {
			return undefined;
		}
	}
}
