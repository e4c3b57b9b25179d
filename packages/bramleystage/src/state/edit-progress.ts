/**
 * The progress of one edit from its author's side. An append whose answer was
 * lost may have taken effect, so it is looked up first: the author reads the
 * log to an end that is later than the failure, and appends again only if the
 * edit was not there. A copy that arrives late all the same is recognised by
 * every fold.
 */
import type {Decision, Milliseconds} from '../protocol/decision.js';
import type {EditId} from '../protocol/ids.js';
import type {EditResult} from './table.js';

export type EditProgress =
	| {readonly phase: 'appending' | 'waiting'; readonly edit: EditId}
	| {
			readonly phase: 'lookingUp';
			readonly edit: EditId;
			readonly failedAt: Milliseconds;
	  }
	| {
			readonly phase: 'settled';
			readonly edit: EditId;
			readonly result: EditResult;
	  };

export type EditEvent =
	| {readonly type: 'appended'}
	/** There was no answer, or an error: the record may be in the log or not. */
	| {readonly type: 'appendFailed'}
	/** The author's fold has passed an edit. */
	| {readonly type: 'folded'; readonly result: EditResult}
	/** The author's fold had every record of that moment. */
	| {readonly type: 'proved'; readonly at: Milliseconds};

export type EditCommand = {readonly type: 'append'};

/** Starts an edit; its first append is to be sent. */
export const createEditProgress = (
	edit: EditId,
): Decision<EditProgress, EditCommand> => [
	{phase: 'appending', edit},
	[{type: 'append'}],
];

export function decideEdit(
	progress: EditProgress,
	event: EditEvent,
	now: Milliseconds,
): Decision<EditProgress, EditCommand> {
	const {edit, phase} = progress;
	if (phase === 'settled') {
		return [progress, []];
	}

	switch (event.type) {
		case 'folded': {
			const {result} = event;
			return result.edit === edit
				? [{phase: 'settled', edit, result}, []]
				: [progress, []];
		}

		case 'appended': {
			return [{phase: 'waiting', edit}, []];
		}

		case 'appendFailed': {
			return [{phase: 'lookingUp', edit, failedAt: now}, []];
		}

		case 'proved': {
			return phase === 'lookingUp' && event.at > progress.failedAt
				? [{phase: 'appending', edit}, [{type: 'append'}]]
				: [progress, []];
		}
	}
}
