/**
 * A simulated agent of a call history, with its call ledger and its backend
 * server.
 */
import {
	type CallAnswer,
	type CallCommand,
	type CallEvent,
	type CallRecord,
	createFailure,
	isExpiredRecord,
	type Message,
	type RequestId,
	type SessionFence,
	type SessionNumber,
	type DispatchTarget,
	toCallEvent,
	toIncarnation,
	updateSessionFence,
} from 'bramleystage';
import type {VirtualClock} from 'bramleystage-stand-ins';
import type {DrawNumber} from './call-history-channel.js';
import type {RequestMechanisms} from './request-mechanisms.js';

/** Calls that the backend server runs concurrently. */
const maxRunningCalls = 2;
const maxQueuedCalls = 3;
const maxRunMs = 300;
/**
 * Probabilities that the backend server refuses a call, and that its answer is
 * lost.
 */
const refusalProbability = 0.1;
const lossProbability = 0.1;

export type HistoryAgentOptions = {
	readonly time: VirtualClock;
	readonly draw: DrawNumber;
	readonly host: DispatchTarget['host'];
	readonly mechanisms: RequestMechanisms;
	/** Called each time the backend server runs a call. */
	readonly recordRun: (request: RequestId) => void;
};

type Send = (message: Message) => void;

export class HistoryAgent {
	pausedUntil = 0;
	#incarnationNumber = 0;
	#records = new Map<RequestId, CallRecord>();
	#queue: RequestId[] = [];
	#running = 0;
	#fence: SessionFence | undefined;
	#send: Send | undefined;

	constructor(private readonly options: HistoryAgentOptions) {}

	get target(): DispatchTarget {
		const {host} = this.options;
		return {
			host,
			incarnation: toIncarnation(`life-${this.#incarnationNumber}`),
		};
	}

	/** Replaces the process by a new incarnation with empty state. */
	replace(): void {
		this.#incarnationNumber++;
		this.#records = new Map();
		this.#queue = [];
		this.#running = 0;
		this.#fence = undefined;
		this.#send = undefined;
		this.pausedUntil = 0;
	}

	accept(number: SessionNumber, send: Send): void {
		this.#fence = updateSessionFence(this.#fence, number);
		if (this.options.mechanisms.isCurrentSession(this.#fence, number)) {
			this.#send = send;
		}
	}

	receive(number: SessionNumber, message: Message): void {
		const event = toCallEvent(message);
		if (
			event &&
			'request' in message &&
			this.options.mechanisms.isCurrentSession(this.#fence, number)
		) {
			this.#handleCallEvent(message.request, event);
		}
	}

	#handleCallEvent(request: RequestId, event: CallEvent): void {
		const {now} = this.options.time;
		for (const [id, record] of this.#records) {
			if (isExpiredRecord(record, now)) {
				this.#records.delete(id);
			}
		}

		const [record, commands] = this.options.mechanisms.decideCall(
			this.#records.get(request),
			event,
			now,
			{
				incarnation: this.target.incarnation,
				leaving: false,
				queueFull: this.#queue.length >= maxQueuedCalls,
			},
		);
		if (record) {
			this.#records.set(request, record);
		}

		for (const command of commands) {
			this.#carryOutCommand(command);
		}

		this.#startQueued();
	}

	#carryOutCommand(command: CallCommand): void {
		switch (command.type) {
			case 'enqueue': {
				this.#queue.push(command.call.request);
				break;
			}

			case 'dequeue': {
				this.#queue = this.#queue.filter((id) => id !== command.request);
				break;
			}

			case 'startCall': {
				this.#runCall(command.call.request);
				break;
			}

			case 'send': {
				this.#send?.(command.message);
				break;
			}

			case 'claim':
			case 'recordClaimEnd':
			case 'releaseClaim':
			case 'abortCall': {
				// The backend server may keep running an aborted call.
				break;
			}
		}
	}

	#startQueued(): void {
		while (this.#running < maxRunningCalls) {
			const request = this.#queue.shift();
			if (request === undefined) {
				return;
			}

			this.#handleCallEvent(request, {type: 'scheduled'});
		}
	}

	#runCall(request: RequestId): void {
		const {draw, recordRun, time} = this.options;
		this.#running++;
		if (draw() < refusalProbability) {
			const failure = createFailure('backendRefused', '');
			this.#scheduleOutcome(request, {type: 'failed', failure}, draw() * 5);
			return;
		}

		const runMs = draw() * maxRunMs;
		time.schedule(draw() * runMs, () => {
			recordRun(request);
		});
		const failure = createFailure('backendLost', '');
		const body = new TextEncoder().encode(`answer to ${request}`);
		const answer: CallAnswer = {
			type: 'callAnswer',
			request,
			status: 200,
			headers: [],
			body,
		};
		this.#scheduleOutcome(
			request,
			draw() < lossProbability
				? {type: 'failed', failure}
				: {type: 'answered', answer},
			runMs,
		);
	}

	/**
	 * Delivers the outcome of a call after a delay, and after any pause of the
	 * agent. It is dropped if the agent was replaced in the meantime.
	 */
	#scheduleOutcome(
		request: RequestId,
		event: CallEvent,
		delayMs: number,
	): void {
		const {time} = this.options;
		const incarnationNumber = this.#incarnationNumber;
		const deliver = () => {
			if (incarnationNumber !== this.#incarnationNumber) {
				return;
			}

			if (this.pausedUntil > time.now) {
				time.schedule(this.pausedUntil - time.now, deliver);
				return;
			}

			this.#running--;
			this.#handleCallEvent(request, event);
		};

		time.schedule(delayMs, deliver);
	}
}
