/**
 * The part of a streaming request's run that takes the engines' answers: it
 * forwards complete events to the caller, each once and in order, and tells the run
 * how an attempt ended.
 */
import {
	type AttemptOutcome,
	type BackendId,
	createFailure,
	type PathStage,
} from 'bramleystage';
import type {AttemptFailure, AnswerHead} from './attempt.js';
import {isOwnAnswer} from './answer-status.js';
import type {Call} from './call.js';
import {CallRun} from './call-run.js';
import type {RunContext} from './run-context.js';
import {decideAnswerMeaning, StreamWriter} from './stream-answer.js';
import type {StreamAttempt} from './stream-attempt.js';

export type StreamAnswerContext = RunContext & {
	/** Checks an engine that was reported as the cause of a refusal. */
	readonly checkFaultyEngine: (stage: PathStage) => void;
	/** Records the pause between two events of a path, in milliseconds. */
	readonly recordPause: (path: readonly PathStage[], pauseMs: number) => void;
	/** Records the time to the first event on a path, in milliseconds. */
	readonly recordFirstEvent: (
		delayMs: number,
		path: readonly PathStage[],
	) => void;
};

export abstract class StreamAnswerRun extends CallRun {
	/** Steady-clock time of the last sign of progress, in milliseconds. */
	lastProgressAt: number;
	protected active: StreamAttempt | undefined;
	protected readonly writer: StreamWriter;
	/** Engines that the next attempts avoid. */
	protected readonly excludedEngines = new Set<BackendId>();
	/** Attempts since the last event that were made after a delay. */
	protected delayedAttempts = 0;

	constructor(
		call: Call,
		protected override readonly context: StreamAnswerContext,
	) {
		super(call, context);
		this.lastProgressAt = call.arrivedAt;
		this.writer = new StreamWriter(call, context, context.holdsStreams());
	}

	protected handleData(active: StreamAttempt, chunk: Buffer): void {
		if (!active.isStream) {
			active.chunks.push(chunk);
			return;
		}

		if (!this.#checkAnswer(active)) {
			return;
		}

		const split = active.splitter.append(chunk);
		if (split.isErr()) {
			this.#handleBadStream(active, split.error);
			return;
		}

		const events = split.value;
		if (!events) {
			return;
		}

		// Parts of an event and comments are no progress: a stalled path may send them.
		if (events.hasData) {
			const now = this.context.readClock();
			const sinceMs = now - this.lastProgressAt;
			if (active.hasEvents) {
				this.context.recordPause(active.path, sinceMs);
			} else {
				this.context.recordFirstEvent(sinceMs, active.path);
			}

			this.lastProgressAt = now;
			if (active.recordEvents(now)) {
				this.context.crashGuard.recordSound(this.call);
			}
		}

		if (this.answerStartedAt === undefined && active.head) {
			this.recordAnswerStart();
			this.writer.start(active.head);
		}

		if (!this.writer.tryWrite(events)) {
			this.#handleBadStream(active, 'The events are out of order.');
			return;
		}

		if (this.writer.isUnread) {
			const detail = 'The caller does not read its answer.';
			this.recordOutcome('unknown', active, detail);
			this.failWith(createFailure('cancelled', detail));
			return;
		}

		if (events.hasData) {
			active.hasEvents = true;
			this.delayedAttempts = 0;
		}
	}

	protected handleEnd(active: StreamAttempt): void {
		if (!active.isStream) {
			active.release();
			this.active = undefined;
			this.#handleNonStreamAnswer(active);
			return;
		}

		if (!this.#checkAnswer(active)) {
			return;
		}

		const isBroken = active.splitter.hasPartial || !this.answerStartedAt;
		if (isBroken) {
			this.#handleBadStream(
				active,
				'The stream ended before an event was complete.',
			);
		} else if (active.hasEvents) {
			this.#finishStream(active);
		} else {
			void this.#handleEmptyEnd(active);
		}
	}

	protected forwardAnswer({chunks}: StreamAttempt, head: AnswerHead): void {
		this.writer.writeWhole(head, Buffer.concat(chunks));
		this.end({status: head.status});
	}

	protected handleFailure(
		active: StreamAttempt,
		{isSent, isRefused, detail}: AttemptFailure,
	): void {
		const {fleet, instances} = this.context;
		this.cancelAttempt(active);
		const [first] = active.path;
		if (isRefused) {
			instances.recordRefusal(active.sent.id, active.sent.sentAt);
		}

		if (first) {
			this.excludedEngines.add(first.id);
			fleet.health.recordFailure(
				first.id,
				isSent ? 'cut' : 'unreachable',
				detail,
			);
		}

		this.handleOutcome(active, isSent ? 'unknown' : 'notRun', detail, isSent);
	}

	/** Closes an attempt's connection. */
	protected abstract cancelAttempt(active: StreamAttempt): void;
	/** Handles the end of an attempt that gave no usable answer; `isCut` if its connection broke. */
	protected abstract handleOutcome(
		active: StreamAttempt,
		outcome: AttemptOutcome,
		detail: string,
		isCut?: boolean,
	): void;

	/** Checks that an attempt's answer is a stream of this request; ends the attempt if it is not. */
	#checkAnswer(active: StreamAttempt): boolean {
		const {head} = active;
		const metadata =
			head && this.context.headers.readAnswerHeaders(head.headers);
		const isOwn =
			metadata?.isEventStream === true &&
			isOwnAnswer(metadata, this.call.metadata.request);
		if (!isOwn) {
			this.cancelAttempt(active);
			this.excludedEngines.add(active.sent.id);
			const detail = 'The answer is no stream of this request.';
			this.context.fleet.health.recordFailure(active.sent.id, 'failed', detail);
			this.handleOutcome(active, 'unknown', detail);
		}

		return isOwn;
	}

	/** Handles a complete answer that is not a stream. */
	#handleNonStreamAnswer(active: StreamAttempt): void {
		const {head, path} = active;
		if (!head) {
			this.handleOutcome(active, 'unknown', 'The answer ended without a head.');
			return;
		}

		const {headers, fleet, checkFaultyEngine} = this.context;
		const {outcome, faulty} = decideAnswerMeaning(
			head,
			path,
			this.call,
			headers,
		);
		const detail = `Status ${head.status}.`;
		if (faulty) {
			const {stage, sign, isReported} = faulty;
			this.excludedEngines.add(stage.id);
			fleet.health.recordFailure(stage.id, sign, detail);
			if (isReported) {
				checkFaultyEngine(stage);
			}
		}

		if (outcome === 'notRun') {
			this.handleOutcome(active, outcome, detail);
		} else if (outcome === 'unknown' || this.answerStartedAt !== undefined) {
			this.handleOutcome(active, 'unknown', detail);
		} else if (outcome === 'failed') {
			this.handleOutcome(active, outcome, detail);
		} else {
			this.recordOutcome(outcome, active);
			this.forwardAnswer(active, head);
		}
	}

	/** Handles a resumed stream that ended without an event: it was complete before, or its engine has ended. */
	async #handleEmptyEnd(active: StreamAttempt): Promise<void> {
		const hasEnded = await this.context.crashGuard.recordCut(this.call, active);
		if (this.isFinished || this.active !== active) {
			return;
		}

		if (hasEnded) {
			this.#handleBadStream(active, 'The engine ended.');
		} else {
			this.#finishStream(active);
		}
	}

	#finishStream(active: StreamAttempt): void {
		active.release();
		this.active = undefined;
		for (const {id} of active.path) {
			this.context.fleet.health.recordSuccess(id);
		}

		this.context.crashGuard.recordSound(this.call);
		this.context.demand.recordAnswer(this.call, this.writer.eventCount);
		this.recordOutcome('answered', active);
		this.writer.finish();
		this.end({status: 200});
	}

	#handleBadStream(active: StreamAttempt, detail: string): void {
		this.handleFailure(active, {isSent: true, isRefused: false, detail});
	}
}
