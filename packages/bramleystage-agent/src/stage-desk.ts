/**
 * Carries out the stage decisions: keeps a record for each request that has a
 * stage here, runs steps at the engine, and sends frames on.
 */
import {
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
import {
	type EngineClient,
	type EngineStep,
	formatSequence,
} from './engine-client.js';
import type {EntryKey} from './entry-sessions.js';
import {createStepWork} from './step-work.js';

/** How long the record of an ended stage is kept, in milliseconds. */
const retentionMs = 600_000;

type Held = {
	record: StageRecord | undefined;
	entry: EntryKey;
};

export class StageDesk {
	readonly #held = new Map<RequestId, Held>();

	constructor(
		private readonly options: {
			readonly client: EngineClient;
			readonly scheduler: WorkScheduler<EngineStep>;
			readonly describeContext: () => StageContext;
			readonly sendToEntry: (entry: EntryKey, message: Message) => void;
			readonly sendToStage: (stage: Stage, message: Message) => void;
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
			({record}) => record?.phase === 'open',
		).length;
	}

	get records(): number {
		return this.#held.size;
	}

	/** Decides an event of a request and carries out what follows. */
	handle(request: RequestId, event: StageEvent, entry?: EntryKey): void {
		const held = this.#held.get(request);
		const owner = entry ?? held?.entry;
		if (!owner) {
			return;
		}

		const [record, commands] = decideStage(
			held?.record,
			event,
			this.options.readClock(),
			this.options.describeContext(),
		);
		if (record) {
			this.#held.set(request, {record, entry: owner});
		}

		for (const command of commands) {
			this.#carryOut(command, owner);
		}
	}

	/** Cancels every open stage of an entry that is gone. */
	cancelAll(entry: EntryKey): void {
		for (const [request, held] of this.#held) {
			if (held.entry === entry && held.record?.phase === 'open') {
				this.handle(request, {
					type: 'cancelled',
					message: {type: 'cancel', request},
				});
			}
		}
	}

	/** Forgets ended stages that are past their retention. */
	sweep(now: number): void {
		for (const [request, {record}] of this.#held) {
			if (record?.phase === 'closed' && now - record.at > retentionMs) {
				this.#held.delete(request);
			}
		}
	}

	#carryOut(command: StageCommand, entry: EntryKey): void {
		switch (command.type) {
			case 'openSequence': {
				// The engine makes the sequence at its first step.
				this.options.scheduler.reserve(
					formatSequence(command.open),
					command.open.work ?? 0,
				);
				break;
			}

			case 'closeSequence': {
				this.#forgetSteps(command.open);
				void this.options.client.closeSequence(command.open);
				break;
			}

			case 'runStep': {
				this.options.scheduler.add(
					createStepWork(command),
					formatSequence(command.open),
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

	#forgetSteps(closed: StageOpen): void {
		const {request, attempt} = closed;
		this.options.scheduler.release(formatSequence(closed));
		this.options.scheduler.remove(
			({open}) => open.request === request && open.attempt === attempt,
		);
	}

	#runWaiting(): void {
		const {scheduler, readClock} = this.options;
		for (;;) {
			const work = scheduler.take(readClock());
			if (!work) {
				return;
			}

			void this.#runStep(work);
		}
	}

	/** False for a step of a stage that was closed or replaced meanwhile. */
	#isOpen({open: {request, attempt}}: EngineStep): boolean {
		const record = this.#held.get(request)?.record;
		return record?.phase === 'open' && record.open.attempt === attempt;
	}

	async #runStep(running: RunningWork<EngineStep>): Promise<void> {
		const step = running.work.value;
		const result = await this.options.client.runStep(step);
		this.options.scheduler.finish(running, this.options.readClock());
		this.#runWaiting();
		if (!this.#isOpen(step)) {
			return;
		}

		this.handle(
			step.open.request,
			result.match<StageEvent>(
				(output) => ({type: 'stepped', output}),
				(failure) => ({type: 'stepFailed', failure}),
			),
		);
	}
}
