/** Events and commands of the stage decisions, and what they decide by. */
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

/** What a step of the engine starts from. */
export type StepInput =
	| {
			readonly kind: 'prompt';
			readonly prompt: string;
			readonly given: readonly number[];
	  }
	| {readonly kind: 'token'; readonly token: number}
	| {readonly kind: 'values'; readonly values: readonly number[]};

/** What a step of the engine gives: activations, or the token at the last layer. */
export type StepOutput = {
	readonly position: Position;
	readonly values: readonly number[];
	readonly token?: {
		readonly id: number;
		readonly text: string;
		readonly isEnd: boolean;
	};
	readonly promptTokens?: number;
};

export type StageEvent =
	| StageInput
	| {readonly type: 'opened'; readonly open: StageOpen}
	| {readonly type: 'resumed'; readonly message: StageResume}
	| {readonly type: 'stepped'; readonly output: StepOutput}
	| {readonly type: 'stepFailed'; readonly failure: Failure}
	/** The entry has every token below this position. */
	| {readonly type: 'acknowledged'; readonly position: Position}
	/** A new session of the entry replaced one that may have lost messages. */
	| {readonly type: 'entryReturned'}
	/** A new session to another stage's address is open. */
	| {readonly type: 'peerReturned'; readonly address: string}
	/** Another stage's address cannot be reached. */
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

/** Facts of the agent that its stages decide by. */
export type StageContext = {
	/** A leaving agent opens no new stage; those that it has go on. */
	readonly leaving: boolean;
	/** Why the agent cannot run these layers, if it cannot. */
	readonly findMismatch: (open: StageOpen) => string | undefined;
	/** Whether this many more bytes of activations may be retained. */
	readonly mayRetain: (bytes: number) => boolean;
};

/** Gives the event that a message is to a stage, if it is one. */
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
