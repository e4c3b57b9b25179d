/**
 * Manages the pipeline stages that run on this agent. Keeps a record for each
 * request with a stage here, converts messages to events, and executes the
 * commands of `decideStage`: runs steps at the engine and sends messages to
 * entries and to other stages.
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
	formatSequenceName,
	type SequenceName,
} from './engine-steps.js';
import type {EntryKey} from './entry-sessions.js';
import {createStepWork, type PromptCache} from './step-work.js';

/** How long the record of a closed stage is kept, in milliseconds. */
const closedRecordRetentionMs = 600_000;

/** Maximum memory for retained activations of all requests, in bytes. */
const maxRetainedBytes = 64 * 1024 * 1024;
/** Time from the deadline of an open stage until it is closed, in milliseconds. */
const deadlineGraceMs = 5000;

type TrackedStage = {
	readonly record: StageRecord;
	readonly entry: EntryKey;
	/** Time at which the stage is closed if it is still open. */
	readonly closeAt: number;
};

export class StageManager {
	readonly #stages = new Map<RequestId, TrackedStage>();
	#retainedBytes = 0;

	constructor(
		private readonly options: {
			readonly client: EngineClient;
			readonly scheduler: WorkScheduler<EngineStep>;
			readonly describeContext: () => Omit<StageContext, 'mayRetain'>;
			readonly sendToEntry: (entry: EntryKey, message: Message) => void;
			readonly sendToStage: (stage: Stage, message: Message) => void;
			/** Called when the engine did not run a requested step. */
			readonly onStepFailed: () => void;
			readonly promptCache: PromptCache;
			readonly readClock: () => number;
		},
	) {}

	get queued(): number {
		return this.options.scheduler.queued;
	}

	get running(): number {
		return this.options.scheduler.running;
	}

	get openCount(): number {
		return [...this.#stages.values()].filter(
			({record}) => record.phase === 'open',
		).length;
	}

	get recordCount(): number {
		return this.#stages.size;
	}

	/** Describes the open stages for the `/dump` response. */
	describeOpenStages(): Array<Record<string, unknown>> {
		return [...this.#stages].flatMap(([request, {record}]) => {
			if (record.phase !== 'open') {
				return [];
			}

			const {open, next, runningStep, lastSent, unacknowledged} = record;
			const {attempt, index, fromPosition} = open;
			return [
				{
					request,
					attempt,
					index,
					fromPosition,
					next,
					running: runningStep?.position,
					sent: lastSent?.position,
					unacknowledged: unacknowledged.length,
				},
			];
		});
	}

	/** Handles a message of an entry or of another agent. */
	receive(message: Message, entry: EntryKey | undefined): void {
		const event = createStageEvent(message);
		if (event && 'request' in message) {
			const setsOwner =
				message.type === 'stageOpen' || message.type === 'cancel';
			this.handle(message.request, event, setsOwner ? entry : undefined);
		}
	}

	/**
	 * Applies an event to the stage of a request and executes the resulting
	 * commands. Events of unknown requests are ignored unless `entry` is given.
	 */
	handle(request: RequestId, event: StageEvent, entry?: EntryKey): void {
		const tracked = this.#stages.get(request);
		const owner = entry ?? tracked?.entry;
		if (!owner) {
			return;
		}

		const now = this.options.readClock();
		const [record, commands] = decideStage(tracked?.record, event, now, {
			...this.options.describeContext(),
			mayRetain: (bytes) => this.#retainedBytes + bytes <= maxRetainedBytes,
		});
		if (record) {
			this.#retainedBytes +=
				countRetainedBytes(record) - countRetainedBytes(tracked?.record);
			const closeAt =
				event.type === 'opened'
					? now + event.open.deadlineMs + deadlineGraceMs
					: (tracked?.closeAt ?? now);
			this.#stages.set(request, {record, entry: owner, closeAt});
			this.#reserveWork(record, tracked?.record);
		}

		for (const command of commands) {
			this.#execute(command, owner);
		}
	}

	/** Cancels every open stage of an entry that is disconnected. */
	cancelStagesOf(entry: EntryKey): void {
		for (const [request, tracked] of this.#stages) {
			if (tracked.entry === entry && tracked.record.phase === 'open') {
				this.handle(request, {
					type: 'cancelled',
					message: {type: 'cancel', request},
				});
			}
		}
	}

	/** Resends to an entry the messages that its previous session may have lost. */
	resendTo(entry: EntryKey): void {
		for (const [request, tracked] of this.#stages) {
			if (tracked.entry === entry) {
				this.handle(request, {type: 'entryReconnected'});
			}
		}
	}

	/** Notifies every stage that an agent's address was reached again, or can't be reached. */
	updatePeer(type: 'peerReconnected' | 'peerLost', address: string): void {
		for (const request of this.#stages.keys()) {
			this.handle(request, {type, address});
		}
	}

	/**
	 * Closes stages after their deadline, and removes the records of closed stages
	 * after their retention.
	 */
	sweep(now: number): void {
		for (const [request, {record, closeAt}] of this.#stages) {
			if (
				record.phase === 'closed' &&
				now - record.endedAt > closedRecordRetentionMs
			) {
				this.#stages.delete(request);
			} else if (record.phase === 'open' && now > closeAt) {
				const message = {type: 'cancel', request} as const;
				this.handle(request, {type: 'cancelled', message});
			}
		}
	}

	#execute(command: StageCommand, entry: EntryKey): void {
		switch (command.type) {
			case 'closeSequence': {
				this.#closeSequence(command);
				break;
			}

			case 'runStep': {
				this.options.scheduler.add(
					createStepWork(command, this.options.promptCache),
					formatSequenceName(command),
				);
				this.#startQueuedSteps();
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

	/** Reserves the expected work of a stage with a new sequence at the scheduler. */
	#reserveWork(record: StageRecord, previous: StageRecord | undefined): void {
		if (record.phase !== 'open') {
			return;
		}

		const previousSequence =
			previous?.phase === 'open' ? previous.sequence : undefined;
		if (record.sequence !== previousSequence) {
			const {open} = record;
			this.options.scheduler.reserve(
				formatSequenceName(record),
				open.work ?? 0,
			);
		}
	}

	#closeSequence(closed: SequenceName): void {
		const name = formatSequenceName(closed);
		this.options.scheduler.release(name);
		this.options.scheduler.remove((step) => formatSequenceName(step) === name);
		void this.options.client.closeSequence(closed);
	}

	#startQueuedSteps(): void {
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
			this.options.onStepFailed();
		}

		this.#startQueuedSteps();
		const {request} = step.open;
		const record = this.#stages.get(request)?.record;
		if (record?.phase !== 'open' || record.sequence !== step.sequence) {
			// The step may have created the sequence again at the engine after it was closed.
			void this.options.client.closeSequence(step);
			return;
		}

		if (result.isOk() && record.next === record.open.fromPosition) {
			this.options.promptCache.recordRun(record.open);
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

const countRetainedBytes = (record: StageRecord | undefined) =>
	record?.phase === 'open' ? record.retainedBytes : 0;
