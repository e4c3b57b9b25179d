/**
 * Carries out the stage decisions: keeps a record for each request that has a
 * stage here, runs steps at the engine, and sends frames on.
 */
import {
	createStageEvent,
	decideStage,
	type Message,
	type RequestId,
	type RunningWork,
	type Stage,
	type StageCommand,
	type StageContext,
	type StageEvent,
	type StageOpen,
	type StageRecord,
	type WorkScheduler,
} from 'bramleystage';
import type {EngineClient} from './engine-client.js';
import {
	type EngineStep,
	formatSequence,
	type SequenceName,
} from './engine-steps.js';
import type {EntryKey} from './entry-sessions.js';
import {createStepWork} from './step-work.js';

/** How long the record of an ended stage is kept, in milliseconds. */
const retentionMs = 600_000;

/** Memory for retained activations of all requests, in bytes. */
const maxRetainedBytes = 64 * 1024 * 1024;
/** An open stage is closed this long after its deadline, in milliseconds. */
const deadlineGraceMs = 5000;

type Held = {
	readonly record: StageRecord;
	readonly entry: EntryKey;
	/** Time when the stage is closed if nothing else closed it. */
	readonly until: number;
};

export class StageDesk {
	readonly #held = new Map<RequestId, Held>();
	#retainedBytes = 0;

	constructor(
		private readonly options: {
			readonly client: EngineClient;
			readonly scheduler: WorkScheduler<EngineStep>;
			readonly describeContext: () => Omit<StageContext, 'mayRetain'>;
			readonly sendToEntry: (entry: EntryKey, message: Message) => void;
			readonly sendToStage: (stage: Stage, message: Message) => void;
			/** Called when the engine did not run a step that it was asked for. */
			readonly onEngineLost: () => void;
			readonly readClock: () => number;
		},
	) {}

	get queued(): number {
		return this.options.scheduler.queued;
	}

	get running(): number {
		return this.options.scheduler.running;
	}

	get open(): number {
		return [...this.#held.values()].filter(
			({record}) => record.phase === 'open',
		).length;
	}

	get records(): number {
		return this.#held.size;
	}

	/** Describes the open stages, for the dump. */
	describe(): Array<Record<string, unknown>> {
		return [...this.#held].flatMap(([request, {record}]) => {
			if (record.phase !== 'open') {
				return [];
			}

			const {
				open,
				next,
				runningStep: running,
				lastSent: sent,
				unacknowledged,
			} = record;
			const {attempt, index, fromPosition} = open;
			return [
				{
					request,
					attempt,
					index,
					fromPosition,
					next,
					running: running?.position,
					sent: sent?.position,
					unacknowledged: unacknowledged.length,
				},
			];
		});
	}

	/** Takes a message of an entry or of another agent. */
	receive(message: Message, entry: EntryKey | undefined): void {
		const event = createStageEvent(message);
		if (event && 'request' in message) {
			const isOwned = message.type === 'stageOpen' || message.type === 'cancel';
			this.handle(message.request, event, isOwned ? entry : undefined);
		}
	}

	/** Decides an event of a request and carries out what follows. */
	handle(request: RequestId, event: StageEvent, entry?: EntryKey): void {
		const held = this.#held.get(request);
		const owner = entry ?? held?.entry;
		if (!owner) {
			return;
		}

		const now = this.options.readClock();
		const [record, commands] = decideStage(held?.record, event, now, {
			...this.options.describeContext(),
			mayRetain: (bytes) => this.#retainedBytes + bytes <= maxRetainedBytes,
		});
		if (record) {
			this.#retainedBytes +=
				countRetained(record) - countRetained(held?.record);
			const until =
				event.type === 'opened'
					? now + event.open.deadlineMs + deadlineGraceMs
					: (held?.until ?? now);
			this.#held.set(request, {record, entry: owner, until});
			this.#reserve(record, held?.record);
		}

		for (const command of commands) {
			this.#carryOut(command, owner);
		}
	}

	/** Cancels every open stage of an entry that is gone. */
	cancelAll(entry: EntryKey): void {
		for (const [request, held] of this.#held) {
			if (held.entry === entry && held.record.phase === 'open') {
				this.handle(request, {
					type: 'cancelled',
					message: {type: 'cancel', request},
				});
			}
		}
	}

	/** Sends an entry again what its last session may have lost. */
	resendTo(entry: EntryKey): void {
		for (const [request, held] of this.#held) {
			if (held.entry === entry) {
				this.handle(request, {type: 'entryReturned'});
			}
		}
	}

	/** Tells every stage that an address was reached again, or can't be. */
	updatePeer(type: 'peerReturned' | 'peerLost', address: string): void {
		for (const request of this.#held.keys()) {
			this.handle(request, {type, address});
		}
	}

	/** Closes stages past their deadline; forgets ended ones past their retention. */
	sweep(now: number): void {
		for (const [request, {record, until}] of this.#held) {
			if (record.phase === 'closed' && now - record.endedAt > retentionMs) {
				this.#held.delete(request);
			} else if (record.phase === 'open' && now > until) {
				const message = {type: 'cancel', request} as const;
				this.handle(request, {type: 'cancelled', message});
			}
		}
	}

	#carryOut(command: StageCommand, entry: EntryKey): void {
		switch (command.type) {
			case 'closeSequence': {
				this.#closeSequence(command);
				break;
			}

			case 'runStep': {
				this.options.scheduler.add(
					createStepWork(command),
					formatSequence(command),
				);
				this.#runWaiting();
				break;
			}

			case 'sendToEntry': {
				this.options.sendToEntry(entry, command.message);
				break;
			}

			case 'sendToStage': {
				this.#sendToStage(command.open, command.index, command.message);
				break;
			}
		}
	}

	#sendToStage(open: StageOpen, index: number, message: Message): void {
		const stage = open.stages[index];
		if (index === open.index && message.type === 'token') {
			this.handle(open.request, {type: 'token', message});
		} else if (stage) {
			this.options.sendToStage(stage, message);
		}
	}

	/** Tells the scheduler what a stage that was opened anew will bring. */
	#reserve(record: StageRecord, before: StageRecord | undefined): void {
		if (record.phase !== 'open') {
			return;
		}

		const known = before?.phase === 'open' ? before.sequence : undefined;
		if (record.sequence !== known) {
			const {open} = record;
			this.options.scheduler.reserve(formatSequence(record), open.work ?? 0);
		}
	}

	#closeSequence(closed: SequenceName): void {
		const name = formatSequence(closed);
		this.options.scheduler.release(name);
		this.options.scheduler.remove((step) => formatSequence(step) === name);
		void this.options.client.closeSequence(closed);
	}

	#runWaiting(): void {
		const {scheduler, readClock} = this.options;
		for (;;) {
			const work = scheduler.startNext(readClock());
			if (!work) {
				return;
			}

			void this.#runStep(work);
		}
	}

	async #runStep(running: RunningWork<EngineStep>): Promise<void> {
		const step = running.work.value;
		const result = await this.options.client.runStep(step);
		this.options.scheduler.finish(running, this.options.readClock());
		if (result.isErr()) {
			this.options.onEngineLost();
		}

		this.#runWaiting();
		const {request} = step.open;
		const record = this.#held.get(request)?.record;
		if (record?.phase !== 'open' || record.sequence !== step.sequence) {
			// The step may have made the sequence anew after it was closed.
			void this.options.client.closeSequence(step);
			return;
		}

		this.handle(
			request,
			result.match<StageEvent>(
				(output) => ({type: 'stepped', output}),
				(failure) => ({type: 'stepFailed', failure}),
			),
		);
	}
}

const countRetained = (record: StageRecord | undefined) =>
	record?.phase === 'open' ? record.retainedBytes : 0;
