/** What a call history is made of, and what each of its calls must keep. */
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

/** What happens in a history, at times in milliseconds. */
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

/** A call as the entry dispatches it, and what came of it. */
export type HistoryCall = {
	readonly id: RequestId;
	readonly deadlineMs: number;
	state: DispatchState;
	dropTimer: () => void;
	runs: number;
	readonly told: Array<CallAnswer | Failure>;
};

/** Builds the frame of a call. */
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

/** Gives what broke a rule, a text each. */
export function checkCall({id, state, told, runs}: HistoryCall): string[] {
	const [first] = told;
	const problems: string[] = [];
	if (told.length !== 1) {
		problems.push(`${id} was told ${told.length} times`);
	}

	if (!state.idempotent && runs > 1) {
		problems.push(`${id} ran ${runs} times`);
	}

	if (first && 'result' in first && first.outcome === 'not-run' && runs > 0) {
		problems.push(`${id} was told not-run and ran ${runs} times`);
	}

	if (first && 'body' in first) {
		const text = new TextDecoder().decode(first.body);
		if (text !== `answer to ${id}` || runs === 0) {
			problems.push(`${id} got "${text}" after ${runs} runs`);
		}
	}

	return problems;
}
