/**
 * State machine of one edit in the process that submits it. An append without
 * an answer may have taken effect, so the process first reads the log up to an
 * end that it observed after the failure, and retries only if the edit is not
 * there. If the lost append takes effect later anyway, `foldRecord` ignores the
 * second copy.
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
	/** No answer or an error: the record may or may not be in the log. */
	| {readonly type: 'appendFailed'}
	/** The local fold has applied an edit, which may be another one. */
	| {readonly type: 'folded'; readonly result: EditResult}
	/** The local table contained every record of the log at the time `at`. */
	| {readonly type: 'tableComplete'; readonly at: Milliseconds};

export type EditCommand = {readonly type: 'append'};

/** Starts an edit with the command to append it. */
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

		case 'tableComplete': {
			return phase === 'lookingUp' && event.at > progress.failedAt
				? [{phase: 'appending', edit}, [{type: 'append'}]]
				: [progress, []];
		}
	}
}
