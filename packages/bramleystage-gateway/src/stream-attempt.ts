/**
 * One attempt of a streaming request: the path of engines that it runs on, its
 * connection to the first of them, and the events received so far.
 */
import type {PathStage, SentRequest} from 'bramleystage';
import {
	type AnswerHead,
	type Attempt,
	type AttemptHandlers,
} from './attempt.js';
import {type Call, computePriority} from './call.js';
import type {DemandWatch} from './demand-watch.js';
import type {CheckEnd} from './end-check.js';
import {EventSplitter} from './event-splitter.js';
import type {Fleet} from './fleet.js';
import type {HeaderPort} from './platform-port.js';
import type {AttemptProgress} from './request-ends.js';
import type {OpenTimedAttempt} from './timed-attempt.js';

/** Timeout for opening a connection over a sound link, in milliseconds; a live engine accepts one within a few milliseconds. */
const connectTimeoutMs = 150;
const streamStatus = 200;
/** Time after the first event for which an engine goes on if the request does not end it, in milliseconds. */
const soundAnswerMs = 250;

export type StreamAttemptOptions = {
	readonly call: Call;
	readonly fleet: Fleet;
	readonly demand: Pick<DemandWatch, 'countExpectedTokens'>;
	readonly openAttempt: OpenTimedAttempt;
	readonly checkEnd: CheckEnd;
	readonly headers: HeaderPort;
	readonly path: readonly PathStage[];
	readonly first: PathStage;
	readonly remainingMs: number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
	readonly readClock: () => number;
	/** Id of the last event that the caller received. */
	readonly lastEvent?: string;
	readonly handlers: AttemptHandlers;
};

export class StreamAttempt {
	/** The request as it was sent to the first engine, which counts as having run it. */
	readonly sent: SentRequest;
	/** Whether events have arrived since the path was chosen. */
	hasEvents = false;
	head: AnswerHead | undefined;
	readonly splitter = new EventSplitter();
	/** Body of an answer that is not a stream. */
	readonly chunks: Buffer[] = [];
	#path: readonly PathStage[];
	/** Steady-clock time of the first event of this attempt, in milliseconds. */
	#firstEventAt: number | undefined;
	#isSound = false;
	#releaseWork: () => void;
	readonly #attempt: Attempt;

	constructor(private readonly options: StreamAttemptOptions) {
		const {call, fleet, demand, headers, path, first, handlers} = options;
		this.sent = {
			id: first.id,
			address: first.address,
			sentAt: options.readClock(),
		};
		this.#path = path;
		this.#releaseWork = fleet.costs.registerWork(
			path,
			demand.countExpectedTokens(call),
		);
		if (call.service.pipeline) {
			fleet.recordPrompt(
				call.service.pipeline,
				path,
				call.metadata.promptTokens,
			);
		}

		this.#attempt = options.openAttempt(
			{
				address: first.address,
				method: call.method,
				target: call.target,
				headers: headers.buildAttemptHeaders(call.headers, {
					remainingMs: options.remainingMs,
					backend: first.id,
					customer: call.holder?.customer,
					priority: computePriority(call),
					path,
					lastEvent: options.lastEvent,
				}),
				body: call.body,
				isHeld: (status) => status !== streamStatus,
				hasServerEnded: async () => options.checkEnd(this.sent),
			},
			{
				timeoutMs: connectTimeoutMs,
				readLinkDelayMs: options.readLinkDelayMs,
				readClock: options.readClock,
			},
			{
				...handlers,
				onHead: (head) => {
					this.head = head;
					handlers.onHead(head);
				},
			},
		);
	}

	/** Stages that the request currently runs on. */
	get path(): readonly PathStage[] {
		return this.#path;
	}

	get isSent(): boolean {
		return this.#attempt.isSent();
	}

	/** Records that events have arrived; returns true once, when the answer is known to be sound. */
	recordEvents(now: number): boolean {
		this.#firstEventAt ??= now;
		const wasSound = this.#isSound;
		this.#isSound ||= now - this.#firstEventAt >= soundAnswerMs;
		return this.#isSound && !wasSound;
	}

	/** How far the answer has come; events count when the engine has sent them for a while. */
	get progress(): AttemptProgress {
		if (this.#isSound) {
			return 'events';
		}

		return this.head ? 'head' : 'none';
	}

	/** Whether the answer is a stream of events. */
	get isStream(): boolean {
		return this.head?.status === streamStatus;
	}

	/** Records that the request now runs on another path with the same first stage. */
	replacePath(path: readonly PathStage[]): void {
		const {call, fleet, demand} = this.options;
		this.#releaseWork();
		this.#path = path;
		this.#releaseWork = fleet.costs.registerWork(
			path,
			demand.countExpectedTokens(call),
		);
		this.hasEvents = false;
	}

	/** Releases the engines' load after the end of the answer. */
	release(): void {
		this.#releaseWork();
	}

	/** Closes the connection and releases the engines' load. */
	cancel(): void {
		this.#releaseWork();
		this.#attempt.cancel();
	}
}
