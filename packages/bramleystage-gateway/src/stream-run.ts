/**
 * A streaming request over a path of engines. Only whole events are passed on.
 * When a path breaks or falls silent, the stream is taken up at another path
 * after the last event that the caller has.
 */
import {
	type AttemptOutcome,
	type BackendId,
	createFailure,
	type PathStage,
} from 'bramleystage';
import {
	type AnswerHead,
	type Attempt,
	type AttemptFailure,
	openAttempt,
} from './attempt.js';
import {type Call, readPriority} from './call.js';
import {CallRun, type DeskContext, listEndToEnd} from './call-run.js';
import {EventSplitter} from './event-splitter.js';
import {
	formatStages,
	PathReplacement,
	type ReplacementContext,
} from './path-replacement.js';
import type {EnginePort} from './platform-port.js';

/** Time for an engine to report, in milliseconds; a live one answers within a few. */
const reportMs = 150;
/** Time to open a connection; a live engine takes one within a few milliseconds. */
const connectMs = 150;

export type StreamDeskContext = DeskContext &
	ReplacementContext & {
		/** Watches a stream for silence until the clean-up is called. */
		readonly registerStream: (stream: StreamRun) => () => void;
		/** Whether requests could not reach an engine just now. */
		readonly isUnreachable: (stage: PathStage) => boolean;
		readonly readReport: EnginePort['readReport'];
		/** Follows up an engine that was named as the reason of a refusal. */
		readonly checkNamed: (stage: PathStage) => void;
		/** Records a pause between two events of a path, in milliseconds. */
		readonly recordPause: (path: readonly PathStage[], pauseMs: number) => void;
	};

type Flight = {
	path: readonly PathStage[];
	readonly attempt: Attempt;
	releaseWork: () => void;
	/** Whether events have come since the path was chosen. */
	isFlowing: boolean;
	readonly splitter: EventSplitter;
	readonly sentAt: number;
	head?: AnswerHead;
	/** Body of an answer that is no stream. */
	readonly chunks: Buffer[];
};

export class StreamRun extends CallRun {
	/** Present time of the last sign of progress, in milliseconds. */
	progressAt: number;
	#flight: Flight | undefined;
	#lastEvent: string | undefined;
	readonly #replacement: PathReplacement;
	readonly #excluded = new Set<BackendId>();
	readonly #releaseWatch: () => void;

	constructor(
		call: Call,
		protected override readonly desk: StreamDeskContext,
	) {
		super(call, desk);
		this.#replacement = new PathReplacement(call, desk);
		this.progressAt = call.arrivedAt;
		this.#lastEvent = call.facts.lastEvent;
		this.#releaseWatch = desk.registerStream(this);
	}

	/** Stages that it runs on now. */
	get path(): readonly PathStage[] {
		return this.#flight?.path ?? [];
	}

	/** Whether the present path has given events since it was chosen. */
	get isFlowing(): boolean {
		return this.#flight?.isFlowing ?? false;
	}

	/** Leaves a path that no longer answers; `suspects` get none of its next attempts. */
	moveAway(suspects: readonly BackendId[], detail: string): void {
		const flight = this.#flight;
		if (this.isOver || !flight) {
			return;
		}

		for (const id of suspects) {
			this.#excluded.add(id);
		}

		const [first] = flight.path;
		const isFirstLost = first !== undefined && this.desk.isUnreachable(first);
		// Without another path the stream is better off waiting on this one.
		const mayMove =
			(isFirstLost || this.canRunAgain()) &&
			this.#choosePath() !== undefined &&
			this.desk.tryRepeat(this.call.service.name);
		if (!mayMove) {
			if (first && !isFirstLost) {
				void this.#replacePath(flight, first, new Set(suspects));
			}

			return;
		}

		const outcome = flight.attempt.isSent() ? 'unknown' : 'notRun';
		this.#drop(flight);
		this.recordOutcome(outcome, isFirstLost, detail);
		this.tryNext();
	}

	protected isInFlight(): boolean {
		return this.#flight?.attempt.isSent() ?? false;
	}

	protected openNext(): boolean {
		const path = this.#choosePath();
		const [first] = path ?? [];
		if (!path || !first) {
			return false;
		}

		this.recordSend();
		this.where = formatStages(path);
		const {call, desk} = this;
		this.progressAt = desk.readClock();
		if (call.service.pipeline) {
			desk.fleet.recordPrompt(
				call.service.pipeline,
				path,
				call.facts.promptTokens,
			);
		}

		const flight: Flight = {
			path,
			isFlowing: false,
			splitter: new EventSplitter(),
			chunks: [],
			sentAt: this.progressAt,
			releaseWork: desk.fleet.registerWork(path, this.#tokens),
			attempt: openAttempt(
				{
					address: first.address,
					method: call.method,
					target: call.target,
					headers: desk.headers.buildAttempt(call.headers, {
						remainingMs: this.remainingMs(),
						backend: first.id,
						customer: call.holder?.customer,
						priority: readPriority(call),
						path,
						lastEvent: this.#lastEvent,
					}),
					body: call.body,
					connectMs,
				},
				{
					onHead(head) {
						flight.head = head;
					},
					onData: (chunk) => {
						this.#handleData(flight, chunk);
					},
					onEnd: () => {
						this.#handleEnd(flight);
					},
					onFail: (failure) => {
						this.#handleFailure(flight, failure);
					},
				},
			),
		};
		this.#flight = flight;
		return true;
	}

	protected cancelAttempts(): void {
		this.#releaseWatch();
		if (this.#flight) {
			this.#drop(this.#flight);
		}
	}

	#choosePath() {
		const {fleet} = this.desk;
		const {service} = this.call;
		return (
			fleet.choosePath(service, this.#excluded) ??
			(this.#flight ? undefined : fleet.choosePath(service, new Set()))
		);
	}

	/** Has the running request go on at other stages after its first one. */
	async #replacePath(
		flight: Flight,
		first: PathStage,
		suspects: ReadonlySet<BackendId>,
	): Promise<void> {
		const path = await this.#replacement.run(first, suspects);
		if (path && this.#flight === flight) {
			flight.releaseWork();
			flight.path = path;
			flight.releaseWork = this.desk.fleet.registerWork(path, this.#tokens);
			this.where = formatStages(path);
			flight.isFlowing = false;
			this.progressAt = this.desk.readClock();
		}
	}

	get #tokens(): number {
		const {promptTokens, maxAnswerTokens} = this.call.facts;
		return promptTokens + maxAnswerTokens / 2;
	}

	#drop(flight: Flight): void {
		flight.releaseWork();
		flight.attempt.cancel();
		if (this.#flight === flight) {
			this.#flight = undefined;
		}
	}

	#isStream(flight: Flight): boolean {
		return flight.head?.status === 200;
	}

	#handleData(flight: Flight, chunk: Buffer): void {
		if (!this.#isStream(flight)) {
			flight.chunks.push(chunk);
			return;
		}

		const now = this.desk.readClock();
		if (flight.isFlowing) {
			this.desk.recordPause(flight.path, now - this.progressAt);
		}

		this.progressAt = now;
		const events = flight.splitter.append(chunk);
		if (!events) {
			return;
		}

		if (!this.firstAt && !this.#startAnswer(flight)) {
			return;
		}

		if (!this.#isInOrder(events.ids)) {
			this.#drop(flight);
			this.failWith(
				createFailure('backendLost', 'The events are out of order.'),
			);
			return;
		}

		flight.isFlowing = true;
		this.#lastEvent = events.ids.at(-1) ?? this.#lastEvent;
		this.call.response.write(events.bytes);
	}

	/** Writes the head of the first engine that gives events. */
	#startAnswer(flight: Flight): boolean {
		const {head} = flight;
		const facts = head && this.desk.headers.readAnswer(head.headers);
		const isOwn = facts?.request === this.call.facts.request;
		if (!head || !isOwn || !facts?.isStamped) {
			this.#drop(flight);
			this.#goOn('unknown', false, 'The answer belongs to another request.');
			return false;
		}

		this.firstAt = this.desk.readClock();
		this.call.response.writeHead(head.status, [
			...listEndToEnd(head.headers).flat(),
			...(this.desk.isStopping() ? ['Connection', 'close'] : []),
		]);
		return true;
	}

	/** Whether events follow the last one that the caller has without a gap or a repeat. */
	#isInOrder(ids: readonly string[]): boolean {
		let last = this.#lastEvent;
		for (const id of ids) {
			const isNext = last === undefined || Number(id) === Number(last) + 1;
			if (!isNext && !Number.isNaN(Number(id))) {
				return false;
			}

			last = id;
		}

		return true;
	}

	#handleEnd(flight: Flight): void {
		flight.releaseWork();
		this.#flight = undefined;
		if (!this.#isStream(flight)) {
			this.#handleOtherAnswer(flight);
			return;
		}

		if (flight.splitter.hasPartial || !this.firstAt) {
			this.#goOn('unknown', false, 'The stream ended within an event.');
			return;
		}

		for (const {id} of flight.path) {
			this.desk.fleet.recordSuccess(id);
		}

		this.desk.journal.recordAttempt(this.call, 'answered', this.where, '');
		this.call.response.end();
		this.end({status: 200});
	}

	/** Handles a whole answer that is no stream. */
	#handleOtherAnswer(flight: Flight): void {
		const {head, path} = flight;
		const facts = head && this.desk.headers.readAnswer(head.headers);
		if (!head || !facts) {
			this.#goOn('unknown', false, 'The answer has no head.');
			return;
		}

		const named = path.find(({address}) => address === facts.faultyAddress);
		const isRefusal = facts.isNotRun || head.status === 421;
		const faulty = named ?? (isRefusal ? path[0] : undefined);
		if (faulty) {
			this.#excluded.add(faulty.id);
			this.desk.fleet.recordTrouble(
				faulty.id,
				head.status === 421 ? 'replaced' : 'refused',
				`Status ${head.status}.`,
			);
			if (named && head.status === 503) {
				this.desk.checkNamed(named);
			}
		}

		const detail = `Status ${head.status}.`;
		if (isRefusal) {
			this.#goOn('notRun', false, detail);
		} else if (
			this.firstAt !== undefined ||
			facts.request !== this.call.facts.request ||
			!facts.isStamped
		) {
			this.#goOn('unknown', false, detail);
		} else if (head.status >= 500) {
			this.#goOn('failed', false, detail, flight);
		} else {
			this.#passOn(flight, head);
		}
	}

	#passOn({chunks}: Flight, head: AnswerHead): void {
		this.call.response.writeHead(
			head.status,
			listEndToEnd(head.headers).flat(),
		);
		this.call.response.end(Buffer.concat(chunks));
		this.end({status: head.status});
	}

	#handleFailure(flight: Flight, {isSent, detail}: AttemptFailure): void {
		this.#drop(flight);
		const [first] = flight.path;
		if (first) {
			this.#excluded.add(first.id);
			this.desk.fleet.recordTrouble(
				first.id,
				isSent ? 'cut' : 'unreachable',
				detail,
			);
		}

		if (isSent && !this.canRunAgain() && first) {
			void this.#goOnIfLost(first, detail);
			return;
		}

		this.#goOn(isSent ? 'unknown' : 'notRun', false, detail);
	}

	/** Goes on after the last attempt that counts only if its engine is gone. */
	async #goOnIfLost(first: PathStage, detail: string): Promise<void> {
		const report = await this.desk.readReport(first.address, reportMs);
		if (!this.isOver) {
			this.#goOn('unknown', report.isErr(), detail);
		}
	}

	#goOn(
		outcome: AttemptOutcome,
		isGone: boolean,
		detail: string,
		answered?: Flight,
	): void {
		this.recordOutcome(outcome, isGone, detail);
		const step = this.decideNext(outcome);
		if (step === 'repeat') {
			this.tryNext();
		} else if (step === 'passOn' && answered?.head) {
			this.#passOn(answered, answered.head);
		} else {
			this.giveUp(detail);
		}
	}
}
