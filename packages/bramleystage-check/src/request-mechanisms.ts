/**
 * The production decisions of the request protocol as the models use them,
 * optionally without the mechanism behind one invariant. An omission wraps the
 * exported decision function and does not reimplement its transitions.
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
	/** Whether a ledger record may expire while the entry can still need it. */
	readonly expiresEarly: boolean;
	/**
	 * Returns the index of the dispatch that a message from an agent is for; -1
	 * if none.
	 */
	readonly findDispatch: (message: Message, requests: number) => number;
};

const defaultMechanisms: RequestMechanisms = {
	decideCall,
	decideDispatch,
	isCurrentSession,
	expiresEarly: false,
	findDispatch: (message) =>
		'request' in message ? Number(message.request.slice(1)) : -1,
};

/**
 * Overrides that disable the mechanism behind an invariant, by the invariant's
 * name.
 */
const omissions: Readonly<Record<string, Partial<RequestMechanisms>>> = {
	'run-at-most-once': {
		// A duplicate does not join the call that is already in the ledger.
		decideCall: (record, event, now, context) =>
			decideCall(
				event.type === 'received' ? undefined : record,
				event,
				now,
				context,
			),
	},
	'not-run-means-not-run': {
		// The entry ignores that an earlier target may have run the call.
		decideDispatch: (state, event, now, policy) =>
			decideDispatch({...state, mayHaveRun: false}, event, now, policy),
	},
	'unknown-never-repeated': {
		// Every call is retried as if it were idempotent.
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
			(defaultMechanisms.findDispatch(message, requests) + 1) % requests,
	},
	'no-recorded-answer-lost': {
		// The entry does not send its calls again when a session reopens.
		decideDispatch: (state, event, now, policy) =>
			event.type === 'sessionOpened'
				? [state, []]
				: decideDispatch(state, event, now, policy),
	},
	'tombstone-refuses-late-frames': {
		// Cancelling a call that is not running leaves no tombstone.
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
		// The entry treats a failure from any agent as one from its current target.
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
	'record-outlives-late-frames': {expiresEarly: true},
};

/**
 * Creates the mechanisms, without the one behind the omitted invariant if one
 * is named.
 */
export function createMechanisms(
	omitted: string | undefined,
): RequestMechanisms {
	return omitted === undefined
		? defaultMechanisms
		: {...defaultMechanisms, ...omissions[omitted]};
}
