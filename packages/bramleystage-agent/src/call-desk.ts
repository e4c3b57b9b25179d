/**
 * Carries out the call ledger's decisions: keeps a record for each call, the
 * queue of calls that wait for a slot, and the running HTTP requests.
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
import type {ClaimDesk} from './claim-desk.js';
import type {EntryKey} from './entry-sessions.js';
import type {ServiceClient} from './service-client.js';

/** Every call counts alike. */
const callCost = 1;

/** Calls that are remembered, running or ended; about 500 bytes each. */
const maxRecords = 100_000;
/** Bodies of answers that no entry has acknowledged yet, in bytes. */
const maxAnswerBytes = 256 * 1024 * 1024;

type Held = {
	record: CallRecord;
	entry: EntryKey;
};

/** What the desk needs of the claims of idempotency keys. */
export type ClaimCarrier = Pick<
	ClaimDesk,
	'claim' | 'pending' | 'recordEnd' | 'release' | 'sweep'
>;

export class CallDesk {
	readonly #held = new Map<RequestId, Held>();
	#answerBytes = 0;
	readonly #running = new Map<RequestId, AbortController>();
	readonly #taken = new Map<RequestId, RunningWork<RequestId>>();

	constructor(
		private readonly options: {
			readonly client: ServiceClient;
			readonly claims: ClaimCarrier;
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
		return this.#running.size;
	}

	get records(): number {
		return this.#held.size;
	}

	/** A full ledger takes no new call: what it holds may still be needed. */
	get #isLedgerFull(): boolean {
		return this.#held.size >= maxRecords || this.#answerBytes >= maxAnswerBytes;
	}

	/** Takes a frame of an entry's newest session. */
	receive(
		message: Extract<Message, {request: RequestId}>,
		entry: EntryKey | undefined,
	): void {
		const event = toCallEvent(message);
		if (event) {
			this.handle(message.request, event, entry);
		}
	}

	/** Decides an event of a request and carries out what follows. */
	handle(request: RequestId, event: CallEvent, entry?: EntryKey): void {
		const held = this.#held.get(request);
		const owner = entry ?? held?.entry;
		if (!owner) {
			return;
		}

		const context: CallLedgerContext = {
			...this.options.describeContext(),
			queueFull: this.options.scheduler.isFull || this.#isLedgerFull,
		};
		const now = this.options.readClock();
		const [record, commands] = decideCall(held?.record, event, now, context);
		this.#answerBytes += measureAnswer(record) - measureAnswer(held?.record);
		if (record) {
			this.#held.set(request, {record, entry: owner});
		}

		for (const command of commands) {
			this.#carryOut(command, owner);
		}

		this.#schedule();
	}

	/** Forgets ended calls that are past their retention. */
	sweep(now: number): void {
		this.options.claims.sweep(now);
		for (const [request, {record}] of this.#held) {
			if (isExpiredRecord(record, now)) {
				this.#answerBytes -= measureAnswer(record);
				this.#held.delete(request);
			}
		}
	}

	#carryOut(command: CallCommand, entry: EntryKey): void {
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
				void this.#run(command.call, command.timeoutMs);
				break;
			}

			case 'abortCall': {
				this.#running.get(command.request)?.abort();
				break;
			}

			case 'send': {
				this.options.send(entry, command.message);
				break;
			}
		}
	}

	#schedule(): void {
		const {scheduler, readClock} = this.options;
		for (;;) {
			const running = scheduler.startNext(readClock());
			if (!running) {
				return;
			}

			const request = running.work.value;
			this.#taken.set(request, running);
			this.handle(request, {type: 'scheduled'});
			if (!this.#running.has(request)) {
				// Its deadline passed while it waited, so it was not started.
				this.#finish(request);
			}
		}
	}

	#finish(request: RequestId): void {
		const running = this.#taken.get(request);
		this.#taken.delete(request);
		if (running) {
			this.options.scheduler.finish(running, this.options.readClock());
		}
	}

	async #run(call: Call, timeoutMs: number): Promise<void> {
		const abort = new AbortController();
		this.#running.set(call.request, abort);
		const result = await this.options.client.runCall(
			call,
			timeoutMs,
			abort.signal,
		);
		this.#running.delete(call.request);
		this.#finish(call.request);
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
