/**
 * Runs a streaming request over a path of engines. Only complete events are
 * forwarded to the caller. When a path breaks or falls silent, the stream
 * resumes on another path after the last event that the caller received.
 */
import {
	type AttemptOutcome,
	type BackendId,
	computeResumeDelayMs,
	type PathStage,
} from 'bramleystage';
import type {AnswerHead, AttemptFailure} from './attempt.js';
import {type Call, isRepeatable} from './call.js';
import {
	CallRun,
	isServerError,
	listEndToEndHeaders,
	minErrorStatus,
	replacedStatus,
	type RunContext,
} from './call-run.js';
import {isConsecutive} from './event-splitter.js';
import {
	formatStages,
	PathReplacement,
	type ReplacementContext,
} from './path-replacement.js';
import type {EnginePort} from './platform-port.js';
import {StreamAttempt} from './stream-attempt.js';

/** Timeout for an engine's report, in milliseconds; a live engine answers within a few milliseconds. */
const reportTimeoutMs = 150;

export type StreamRunContext = RunContext &
	ReplacementContext & {
		/** Monitors a stream for silence until the returned function is called. */
		readonly registerStream: (stream: StreamRun) => () => void;
		/** Whether requests recently failed to reach an engine. */
		readonly isUnreachable: (stage: PathStage) => boolean;
		readonly readReport: EnginePort['readReport'];
		/** Checks an engine that was reported as the cause of a refusal. */
		readonly checkFaultyEngine: (stage: PathStage) => void;
		/** Records the pause between two events of a path, in milliseconds. */
		readonly recordPause: (path: readonly PathStage[], pauseMs: number) => void;
	};

export class StreamRun extends CallRun {
	/** Steady-clock time of the last sign of progress, in milliseconds. */
	lastProgressAt: number;
	#active: StreamAttempt | undefined;
	#lastEvent: string | undefined;
	readonly #replacement: PathReplacement;
	readonly #excludedEngines = new Set<BackendId>();
	readonly #unregister: () => void;
	#delayedAttempts = 0;
	#resumeTimer: NodeJS.Timeout | undefined;

	constructor(
		call: Call,
		protected override readonly context: StreamRunContext,
	) {
		super(call, context);
		this.#replacement = new PathReplacement(call, context);
		this.lastProgressAt = call.arrivedAt;
		this.#lastEvent = call.metadata.lastEvent;
		this.#unregister = context.registerStream(this);
	}

	/** Stages that the request currently runs on; empty if there is no attempt. */
	get path(): readonly PathStage[] {
		return this.#active?.path ?? [];
	}

	/** Whether events have arrived on the current path since it was chosen. */
	get hasEvents(): boolean {
		return this.#active?.hasEvents ?? false;
	}

	/** Fails over from a path that no longer answers; its later attempts avoid the suspects. */
	failOver(suspects: readonly BackendId[], detail: string): void {
		const active = this.#active;
		if (this.isFinished || !active) {
			return;
		}

		for (const id of suspects) {
			this.#excludedEngines.add(id);
		}

		const [first] = active.path;
		const isFirstLost =
			first !== undefined && this.context.isUnreachable(first);
		// A run at a lost engine leaves the route's count free, but a request that
		// must not be repeated may have run there all the same.
		const mayRunAgain = isFirstLost
			? isRepeatable(this.call)
			: this.canRunAgain();
		// Without another path the stream keeps waiting on this one.
		const mayFailOver =
			mayRunAgain &&
			this.#choosePath() !== undefined &&
			this.context.trySpendRetry(this.call.service.name);
		if (!mayFailOver) {
			if (first && !isFirstLost) {
				void this.#replacePath(active, first, new Set(suspects));
			}

			return;
		}

		const outcome = active.isSent ? 'unknown' : 'notRun';
		this.#cancelAttempt(active);
		this.recordOutcome(
			outcome,
			first?.id,
			isFirstLost ? 'avoidedAsUnreachable' : undefined,
			detail,
		);
		this.tryNextAttempt();
	}

	protected isInFlight(): boolean {
		return this.#active?.isSent ?? false;
	}

	protected openNextAttempt(): boolean {
		const path = this.#choosePath();
		const [first] = path ?? [];
		if (!path || !first) {
			return false;
		}

		this.countAttempt();
		this.where = formatStages(path);
		const {call, context} = this;
		this.lastProgressAt = context.readClock();
		const active: StreamAttempt = new StreamAttempt({
			call,
			fleet: context.fleet,
			headers: context.headers,
			path,
			first,
			remainingMs: this.remainingMs(),
			readLinkDelayMs: context.readLinkDelayMs,
			readClock: context.readClock,
			lastEvent: this.#lastEvent,
			handlers: {
				onHead: (head) => {
					const metadata = context.headers.readAnswerHeaders(head.headers);
					this.recordServerState(first.id, metadata, head.status);
				},
				onData: (chunk) => {
					this.#handleData(active, chunk);
				},
				onEnd: () => {
					this.#handleEnd(active);
				},
				onFail: (failure) => {
					this.#handleFailure(active, failure);
				},
			},
		});
		this.#active = active;
		return true;
	}

	/**
	 * Waits for a path, if the caller has received a part of the answer or if only
	 * paths are left that this request has just found unusable.
	 */
	protected override handleNoBackend(): void {
		const {fleet} = this.context;
		const isWaiting =
			this.answerStartedAt !== undefined ||
			fleet.choosePath(this.call.service, new Set()) !== undefined;
		if (isWaiting) {
			this.#resumeLater();
		} else {
			super.handleNoBackend();
		}
	}

	protected cancelAttempts(): void {
		this.#unregister();
		clearTimeout(this.#resumeTimer);
		if (this.#active) {
			this.#cancelAttempt(this.#active);
		}
	}

	#choosePath() {
		return this.context.fleet.choosePath(
			this.call.service,
			this.#excludedEngines,
		);
	}

	/** Moves the running request onto other stages after its first one. */
	async #replacePath(
		active: StreamAttempt,
		first: PathStage,
		suspects: ReadonlySet<BackendId>,
	): Promise<void> {
		const path = await this.#replacement.run(first, suspects);
		if (path && this.#active === active) {
			active.replacePath(path);
			this.where = formatStages(path);
			this.lastProgressAt = this.context.readClock();
		}
	}

	#cancelAttempt(active: StreamAttempt): void {
		active.cancel();
		if (this.#active === active) {
			this.#active = undefined;
		}
	}

	#handleData(active: StreamAttempt, chunk: Buffer): void {
		if (!active.isStream) {
			active.chunks.push(chunk);
			return;
		}

		const split = active.splitter.append(chunk);
		if (split.isErr()) {
			this.#handleFailure(active, {isSent: true, detail: split.error});
			return;
		}

		const events = split.value;
		if (!events) {
			return;
		}

		// Parts of an event and comments are no progress: a stalled path may send them.
		if (events.hasData) {
			const now = this.context.readClock();
			if (active.hasEvents) {
				this.context.recordPause(active.path, now - this.lastProgressAt);
			}

			this.lastProgressAt = now;
		}

		if (!this.answerStartedAt && !this.#startAnswer(active)) {
			return;
		}

		if (!isConsecutive(this.#lastEvent, events.ids)) {
			this.#handleFailure(active, {
				isSent: true,
				detail: 'The events are out of order.',
			});
			return;
		}

		if (events.hasData) {
			active.hasEvents = true;
			this.#delayedAttempts = 0;
		}

		this.#lastEvent = events.ids.at(-1) ?? this.#lastEvent;
		this.call.response.write(events.bytes);
	}

	/** Writes the answer's head once the first events arrive; returns false if the answer belongs to another request. */
	#startAnswer(active: StreamAttempt): boolean {
		const {head} = active;
		const metadata =
			head && this.context.headers.readAnswerHeaders(head.headers);
		const isSameRequest = metadata?.request === this.call.metadata.request;
		if (!head || !isSameRequest || !metadata?.isStamped) {
			this.#cancelAttempt(active);
			this.#handleOutcome(
				active,
				'unknown',
				'The answer belongs to another request.',
			);
			return false;
		}

		this.answerStartedAt = this.context.readClock();
		this.call.response.writeHead(head.status, [
			...listEndToEndHeaders(head.headers).flat(),
			...(this.context.isStopping() ? ['Connection', 'close'] : []),
		]);
		return true;
	}

	#handleEnd(active: StreamAttempt): void {
		active.release();
		this.#active = undefined;
		if (!active.isStream) {
			this.#handleNonStreamAnswer(active);
			return;
		}

		if (active.splitter.hasPartial || !this.answerStartedAt) {
			this.#handleOutcome(
				active,
				'unknown',
				'The stream ended before an event was complete.',
			);
			return;
		}

		for (const {id} of active.path) {
			this.context.fleet.health.recordSuccess(id);
		}

		this.recordAnswer(active.path[0]?.id);
		this.call.response.end();
		this.end({status: 200});
	}

	/** Handles a complete answer that is not a stream. */
	#handleNonStreamAnswer(active: StreamAttempt): void {
		const {head, path} = active;
		const metadata =
			head && this.context.headers.readAnswerHeaders(head.headers);
		if (!head || !metadata) {
			this.#handleOutcome(
				active,
				'unknown',
				'The answer ended without a head.',
			);
			return;
		}

		const reported = path.find(
			({address}) => address === metadata.faultyAddress,
		);
		const isRefusal = metadata.isNotRun || head.status === replacedStatus;
		const isError = isServerError(head.status);
		const faulty = reported ?? (isRefusal || isError ? path[0] : undefined);
		if (faulty) {
			this.#excludedEngines.add(faulty.id);
			const otherSign = isRefusal ? 'refused' : 'failed';
			this.context.fleet.health.recordFailure(
				faulty.id,
				head.status === replacedStatus ? 'replaced' : otherSign,
				`Status ${head.status}.`,
			);
			if (reported && head.status === 503) {
				this.context.checkFaultyEngine(reported);
			}
		}

		const detail = `Status ${head.status}.`;
		if (isRefusal) {
			this.#handleOutcome(active, 'notRun', detail);
		} else if (
			this.answerStartedAt !== undefined ||
			metadata.request !== this.call.metadata.request ||
			!metadata.isStamped
		) {
			this.#handleOutcome(active, 'unknown', detail);
		} else if (head.status >= minErrorStatus) {
			this.#handleOutcome(active, 'failed', detail);
		} else {
			this.#forwardAnswer(active, head);
		}
	}

	#forwardAnswer({chunks}: StreamAttempt, head: AnswerHead): void {
		this.call.response.writeHead(
			head.status,
			listEndToEndHeaders(head.headers).flat(),
		);
		this.call.response.end(Buffer.concat(chunks));
		this.end({status: head.status});
	}

	#handleFailure(
		active: StreamAttempt,
		{isSent, detail}: AttemptFailure,
	): void {
		this.#cancelAttempt(active);
		const [first] = active.path;
		if (first) {
			this.#excludedEngines.add(first.id);
			this.context.fleet.health.recordFailure(
				first.id,
				isSent ? 'cut' : 'unreachable',
				detail,
			);
		}

		if (isSent && !this.canRunAgain() && first) {
			void this.#handleLastCutAttempt(active, first, detail);
			return;
		}

		this.#handleOutcome(active, isSent ? 'unknown' : 'notRun', detail);
	}

	/** Handles the loss of the last allowed attempt, which does not count if its engine is gone. */
	async #handleLastCutAttempt(
		active: StreamAttempt,
		first: PathStage,
		detail: string,
	): Promise<void> {
		const {fleet, readReport} = this.context;
		const report = fleet.health.isPaused(first.id)
			? undefined
			: await readReport(first.address, reportTimeoutMs);
		const uncounted = report?.isErr()
			? `report_${report.error.kind}`
			: undefined;
		if (!this.isFinished) {
			this.#handleOutcome(active, 'unknown', detail, uncounted);
		}
	}

	#handleOutcome(
		active: StreamAttempt,
		outcome: AttemptOutcome,
		detail: string,
		uncounted?: string,
	): void {
		this.recordOutcome(outcome, active.path[0]?.id, uncounted, detail);
		const step = this.decideNext(outcome);
		const isResumption = this.answerStartedAt !== undefined;
		if (step === 'wait') {
			this.#resumeLater(() =>
				this.context.trySpendRetry(this.call.service.name),
			);
		} else if (step === 'retry' && isResumption && outcome === 'notRun') {
			this.#resumeLater();
		} else if (step === 'retry') {
			this.tryNextAttempt();
		} else if (step === 'forward' && active.head) {
			this.#forwardAnswer(active, active.head);
		} else {
			this.failAfterAttempt(detail);
		}
	}

	/** Makes the next attempt, over any path, after a delay that grows with each call; waits on while it is not allowed. */
	#resumeLater(tryAllow = () => true): void {
		this.#delayedAttempts++;
		this.#resumeTimer = setTimeout(() => {
			if (!tryAllow()) {
				this.#resumeLater(tryAllow);
				return;
			}

			this.#excludedEngines.clear();
			this.tryNextAttempt();
		}, computeResumeDelayMs(this.#delayedAttempts));
	}
}
