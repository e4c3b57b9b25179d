/** An agent with its ledger and backend server in a call history. */
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
import type {DrawNumber} from './call-history-wire.js';
import type {RequestMechanisms} from './request-mechanisms.js';
import type {VirtualTime} from './virtual-time.js';

/** Calls that a backend server runs at once. */
const slots = 2;
const maxQueued = 3;
const longestRunMs = 300;
/** Share of calls that a backend server refuses, and that it loses. */
const refusedShare = 0.1;
const lostShare = 0.1;

export type HistoryAgentOptions = {
	readonly time: VirtualTime;
	readonly draw: DrawNumber;
	readonly host: DispatchTarget['host'];
	readonly mechanisms: RequestMechanisms;
	/** The backend server has run a call. */
	readonly recordRun: (request: RequestId) => void;
};

type Send = (message: Message) => void;

export class HistoryAgent {
	pausedUntil = 0;
	#life = 0;
	#records = new Map<RequestId, CallRecord>();
	#queue: RequestId[] = [];
	#running = 0;
	#fence: SessionFence | undefined;
	#send: Send | undefined;

	constructor(private readonly options: HistoryAgentOptions) {}

	get target(): DispatchTarget {
		const {host} = this.options;
		return {host, incarnation: toIncarnation(`life-${this.#life}`)};
	}

	/** Replaces the process: a new incarnation that knows nothing. */
	replace(): void {
		this.#life++;
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
			this.#handle(message.request, event);
		}
	}

	#handle(request: RequestId, event: CallEvent): void {
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
				queueFull: this.#queue.length >= maxQueued,
			},
		);
		if (record) {
			this.#records.set(request, record);
		}

		for (const command of commands) {
			this.#carryOut(command);
		}

		this.#schedule();
	}

	#carryOut(command: CallCommand): void {
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
				this.#run(command.call.request);
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
				// The backend server may go on all the same.
				break;
			}
		}
	}

	#schedule(): void {
		while (this.#running < slots) {
			const request = this.#queue.shift();
			if (request === undefined) {
				return;
			}

			this.#handle(request, {type: 'scheduled'});
		}
	}

	#run(request: RequestId): void {
		const {draw, recordRun, time} = this.options;
		this.#running++;
		if (draw() < refusedShare) {
			const failure = createFailure('backendRefused', '');
			this.#finish(request, {type: 'failed', failure}, draw() * 5);
			return;
		}

		const runMs = draw() * longestRunMs;
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
		this.#finish(
			request,
			draw() < lostShare
				? {type: 'failed', failure}
				: {type: 'answered', answer},
			runMs,
		);
	}

	/** The answer reaches this life of the agent, once it is not paused. */
	#finish(request: RequestId, event: CallEvent, delayMs: number): void {
		const {time} = this.options;
		const life = this.#life;
		const arrive = () => {
			if (life !== this.#life) {
				return;
			}

			if (this.pausedUntil > time.now) {
				time.schedule(this.pausedUntil - time.now, arrive);
				return;
			}

			this.#running--;
			this.#handle(request, event);
		};

		time.schedule(delayMs, arrive);
	}
}
