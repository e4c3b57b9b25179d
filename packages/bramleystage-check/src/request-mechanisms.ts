/**
 * The decisions of the request protocol as the model uses them, with the
 * mechanism of one rule left out where that is asked for. Each omission wraps
 * the exported decision; none replaces its transitions.
 */
import {
	decideCall,
	decideDispatch,
	isCurrentSession,
	type Message,
} from 'bramleystage';

export type RequestMechanisms = {
	readonly decideCall: typeof decideCall;
	readonly decideDispatch: typeof decideDispatch;
	readonly isCurrentSession: typeof isCurrentSession;
	/** Whether a record may go though the entry can still need it. */
	readonly forgetsEarly: boolean;
	/** Finds the dispatch that a message from an agent is for. */
	readonly findDispatch: (message: Message, requests: number) => number;
};

const whole: RequestMechanisms = {
	decideCall,
	decideDispatch,
	isCurrentSession,
	forgetsEarly: false,
	findDispatch: (message) =>
		'request' in message ? Number(message.request.slice(1)) : -1,
};

const omissions: Readonly<Record<string, Partial<RequestMechanisms>>> = {
	'run-at-most-once': {
		// A duplicate does not join the call that the ledger holds.
		decideCall: (record, event, now, context) =>
			decideCall(
				event.type === 'received' ? undefined : record,
				event,
				now,
				context,
			),
	},
	'not-run-means-not-run': {
		// The entry forgets that an agent it left may have run the call.
		decideDispatch: (state, event, now, policy) =>
			decideDispatch({...state, mayHaveRun: false}, event, now, policy),
	},
	'unknown-never-repeated': {
		// Every call is sent on as if it were idempotent.
		decideDispatch(state, event, now, policy) {
			const {idempotent} = state;
			const [next, commands] = decideDispatch(
				{...state, idempotent: true},
				event,
				now,
				policy,
			);
			return [{...next, idempotent}, commands];
		},
	},
	'answer-to-own-request': {
		findDispatch: (message, requests) =>
			(whole.findDispatch(message, requests) + 1) % requests,
	},
	'no-recorded-answer-lost': {
		// A reopened session does not ask for the call again.
		decideDispatch: (state, event, now, policy) =>
			event.type === 'sessionOpened'
				? [state, []]
				: decideDispatch(state, event, now, policy),
	},
	'tombstone-refuses-late-frames': {
		// A cancel of a call that does not run yet leaves no record.
		decideCall(record, event, now, context) {
			const decision = decideCall(record, event, now, context);
			return event.type === 'cancelled' && record?.phase !== 'running'
				? [undefined, decision[1]]
				: decision;
		},
	},
	'stale-incarnation-refused': {
		decideCall: (record, event, now, context) =>
			decideCall(
				record,
				event,
				now,
				event.type === 'received'
					? {...context, incarnation: event.call.incarnation}
					: context,
			),
	},
	'older-session-fenced': {isCurrentSession: () => true},
	'failure-of-current-target-only': {
		// The entry takes any agent's failure for its present target's.
		decideDispatch: (state, event, now, policy) =>
			decideDispatch(
				state,
				event.type === 'failed' || event.type === 'cancelled'
					? {...event, from: state.target ?? event.from}
					: event,
				now,
				policy,
			),
	},
	'record-outlives-late-frames': {forgetsEarly: true},
};

/** Gives the mechanisms, without the one of a rule if one is named. */
export function createMechanisms(
	broken: string | undefined,
): RequestMechanisms {
	return broken === undefined ? whole : {...whole, ...omissions[broken]};
}
