/**
 * Manages the plain service calls of this agent. Keeps a record for each call,
 * the queue of calls that wait for a slot, and the running HTTP requests;
 * converts messages to events and executes the commands of `decideCall`.
 */
import {
	type Call,
	type CallCommand,
	type CallEvent,
	type CallRecord,
	isExpiredRecord,
	decideCall,
	type CallLedgerContext,
	type Message,
	type RequestId,
	type RunningWork,
	toCallEvent,
	type WorkItem,
	type WorkScheduler,
} from 'bramleystage';
import type {ClaimManager} from './claim-manager.js';
import type {EntryKey} from './entry-sessions.js';
import type {ServiceClient} from './service-client.js';

/** Every call has the same cost. */
const callCost = 1;

/** Maximum number of calls, running or ended, that are on record; about 500 bytes each. */
const maxCalls = 100_000;
/** Maximum memory for bodies of answers that no entry has acknowledged yet, in bytes. */
const maxAnswerBytes = 256 * 1024 * 1024;

type TrackedCall = {
	record: CallRecord;
	entry: EntryKey;
};

/** Part of the claim manager that the call manager uses. */
export type IdempotencyClaims = Pick<
	ClaimManager,
	'claim' | 'pending' | 'recordEnd' | 'release' | 'sweep'
>;

export class CallManager {
	readonly #calls = new Map<RequestId, TrackedCall>();
	#answerBytes = 0;
	readonly #abortControllers = new Map<RequestId, AbortController>();
	readonly #scheduledWork = new Map<RequestId, RunningWork<RequestId>>();

	constructor(
		private readonly options: {
			readonly client: ServiceClient;
			readonly claims: IdempotencyClaims;
			readonly scheduler: WorkScheduler<RequestId>;
			readonly describeContext: () => Omit<CallLedgerContext, 'queueFull'>;
			readonly send: (entry: EntryKey, message: Message) => void;
			readonly readClock: () => number;
		},
	) {}

	get queued(): number {
		return this.options.scheduler.queued + this.options.claims.pending;
	}

	get running(): number {
		return this.#abortControllers.size;
	}

	get recordCount(): number {
		return this.#calls.size;
	}

	/** A full ledger refuses new calls; records that entries may still need aren't evicted. */
	get #isLedgerFull(): boolean {
		return this.#calls.size >= maxCalls || this.#answerBytes >= maxAnswerBytes;
	}

	/** Handles a message from the newest session of an entry. */
	receive(
		message: Extract<Message, {request: RequestId}>,
		entry: EntryKey | undefined,
	): void {
		const event = toCallEvent(message);
		if (event) {
			this.handle(message.request, event, entry);
		}
	}

	/**
	 * Applies an event to the record of a call, executes the resulting commands,
	 * and starts queued calls. Events of unknown requests are ignored
	 * unless `entry` is given.
	 */
	handle(request: RequestId, event: CallEvent, entry?: EntryKey): void {
		const tracked = this.#calls.get(request);
		const owner = entry ?? tracked?.entry;
		if (!owner) {
			return;
		}

		const context: CallLedgerContext = {
			...this.options.describeContext(),
			queueFull: this.options.scheduler.isFull || this.#isLedgerFull,
		};
		const now = this.options.readClock();
		const [record, commands] = decideCall(tracked?.record, event, now, context);
		this.#answerBytes += measureAnswer(record) - measureAnswer(tracked?.record);
		if (record) {
			this.#calls.set(request, {record, entry: owner});
		}

		for (const command of commands) {
			this.#execute(command, owner);
		}

		this.#startQueuedCalls();
	}

	/** Removes records of ended calls after their retention. */
	sweep(now: number): void {
		this.options.claims.sweep(now);
		for (const [request, {record}] of this.#calls) {
			if (isExpiredRecord(record, now)) {
				this.#answerBytes -= measureAnswer(record);
				this.#calls.delete(request);
			}
		}
	}

	#execute(command: CallCommand, entry: EntryKey): void {
		const {claims} = this.options;
		switch (command.type) {
			case 'claim': {
				claims.claim(command.call);
				break;
			}

			case 'releaseClaim': {
				claims.release(command.call);
				break;
			}

			case 'recordClaimEnd': {
				claims.recordEnd(command.call, command.end);
				break;
			}

			case 'enqueue': {
				this.options.scheduler.add(createCallWork(command.call));
				break;
			}

			case 'dequeue': {
				this.options.scheduler.remove((request) => request === command.request);
				break;
			}

			case 'startCall': {
				void this.#runCall(command.call, command.timeoutMs);
				break;
			}

			case 'abortCall': {
				this.#abortControllers.get(command.request)?.abort();
				break;
			}

			case 'send': {
				this.options.send(entry, command.message);
				break;
			}
		}
	}

	#startQueuedCalls(): void {
		const {scheduler, readClock} = this.options;
		for (;;) {
			const running = scheduler.startNext(readClock());
			if (!running) {
				return;
			}

			const request = running.work.value;
			this.#scheduledWork.set(request, running);
			this.handle(request, {type: 'scheduled'});
			if (!this.#abortControllers.has(request)) {
				// The call was not started because its deadline passed while it was queued.
				this.#releaseSlot(request);
			}
		}
	}

	#releaseSlot(request: RequestId): void {
		const running = this.#scheduledWork.get(request);
		this.#scheduledWork.delete(request);
		if (running) {
			this.options.scheduler.finish(running, this.options.readClock());
		}
	}

	async #runCall(call: Call, timeoutMs: number): Promise<void> {
		const abortController = new AbortController();
		this.#abortControllers.set(call.request, abortController);
		const result = await this.options.client.runCall(
			call,
			timeoutMs,
			abortController.signal,
		);
		this.#abortControllers.delete(call.request);
		this.#releaseSlot(call.request);
		this.handle(
			call.request,
			result.match<CallEvent>(
				(answer) => ({type: 'answered', answer}),
				(failure) => ({type: 'failed', failure}),
			),
		);
	}
}

function createCallWork(call: Call): WorkItem<RequestId> {
	return {
		sharePath: [
			{key: call.customer, weight: call.weight},
			{key: call.service, weight: 1},
		],
		cost: callCost,
		priority: call.priority,
		value: call.request,
	};
}

const measureAnswer = (record: CallRecord | undefined): number =>
	record?.phase === 'answered' ? record.answer.body.length : 0;
