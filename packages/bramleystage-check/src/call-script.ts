/**
 * The input of a call history, and the invariants that each of its calls must
 * satisfy.
 */
import {
	type CallAnswer,
	type DispatchState,
	type Failure,
	type Message,
	type RequestId,
	type DispatchTarget,
	toCustomerId,
	toServiceName,
} from 'bramleystage';

/** The calls and faults of a history; times in milliseconds. */
export type CallScript = {
	readonly seed: number;
	readonly hosts: number;
	readonly calls: ReadonlyArray<{
		readonly at: number;
		readonly idempotent: boolean;
		readonly deadlineMs: number;
	}>;
	readonly faults: ReadonlyArray<{
		readonly at: number;
		readonly host: number;
		readonly kind: 'lose' | 'silence' | 'pause' | 'replace';
	}>;
};

/**
 * A call that the entry dispatches, with the number of its runs and the
 * outcomes that its caller received.
 */
export type HistoryCall = {
	readonly id: RequestId;
	readonly deadlineMs: number;
	state: DispatchState;
	cancelTimer: () => void;
	runs: number;
	readonly outcomes: Array<CallAnswer | Failure>;
};

/** Creates the message that sends a call to an agent. */
export function createCall(
	{id, state}: HistoryCall,
	{incarnation}: DispatchTarget,
	deadlineMs: number,
): Message {
	return {
		type: 'call',
		request: id,
		incarnation,
		customer: toCustomerId('customer'),
		service: toServiceName('service'),
		weight: 1,
		priority: 5,
		idempotent: state.idempotent,
		method: 'POST',
		path: '/bookings',
		headers: [],
		body: new Uint8Array(),
		deadlineMs,
	};
}

/** Returns a description of each invariant that the call violates. */
export function checkCall({id, state, outcomes, runs}: HistoryCall): string[] {
	const [outcome] = outcomes;
	const violations: string[] = [];
	if (outcomes.length !== 1) {
		violations.push(`${id} received ${outcomes.length} outcomes`);
	}

	if (!state.idempotent && runs > 1) {
		violations.push(`${id} ran ${runs} times`);
	}

	if (
		outcome &&
		'result' in outcome &&
		outcome.outcome === 'not-run' &&
		runs > 0
	) {
		violations.push(`${id} received not-run and ran ${runs} times`);
	}

	if (outcome && 'body' in outcome) {
		const text = new TextDecoder().decode(outcome.body);
		if (text !== `answer to ${id}` || runs === 0) {
			violations.push(`${id} got "${text}" after ${runs} runs`);
		}
	}

	return violations;
}
