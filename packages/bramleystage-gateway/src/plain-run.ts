/**
 * A call of a plain service. The whole answer is read before any of it is
 * passed on, so that a broken one is never taken for whole. A call that may be
 * repeated is also sent to a second server when the first one is slow.
 */
import type {AttemptOutcome, Backend, BackendId} from 'bramleystage';
import {
	type AnswerHead,
	type Attempt,
	type AttemptFailure,
	openAttempt,
} from './attempt.js';
import {type Call, readPriority} from './call.js';
import {CallRun, type DeskContext, listEndToEnd} from './call-run.js';

/** Time to open a connection; a live server takes one within a few milliseconds. */
const connectMs = 100;
/** Share of the target time after which a repeatable call is sent to a second server too. */
const hedgeShare = 0.5;

type Flight = {
	readonly backend: Backend;
	readonly attempt: Attempt;
	readonly releaseWork: () => void;
	head?: AnswerHead;
	readonly chunks: Buffer[];
};

export class PlainRun extends CallRun {
	readonly #flights = new Set<Flight>();
	readonly #tried = new Set<BackendId>();
	readonly #hedgeTimer: NodeJS.Timeout | undefined;

	constructor(call: Call, desk: DeskContext) {
		super(call, desk);
		if (call.route.kind === 'idempotent' && call.route.maxAttempts > 1) {
			this.#hedgeTimer = setTimeout(() => {
				this.#hedge();
			}, call.route.targetMs * hedgeShare);
		}
	}

	protected isInFlight(): boolean {
		return [...this.#flights].some(({attempt}) => attempt.isSent());
	}

	protected openNext(): boolean {
		const backend = this.desk.fleet.chooseBackend(
			this.call.service.name,
			this.#tried,
		);
		if (!backend) {
			return false;
		}

		this.#tried.add(backend.id);
		this.recordSend();
		this.where = backend.address;
		const {call, desk} = this;
		const flight: Flight = {
			backend,
			chunks: [],
			releaseWork: desk.fleet.registerWork(
				[{id: backend.id, layers: {from: 0, to: 0}}],
				0,
			),
			attempt: openAttempt(
				{
					address: backend.address,
					method: call.method,
					target: call.target,
					headers: desk.headers.buildAttempt(call.headers, {
						remainingMs: this.remainingMs(),
						backend: backend.id,
						customer: call.holder?.customer,
						priority: readPriority(call),
					}),
					body: call.body,
					connectMs,
				},
				{
					onHead(head) {
						flight.head = head;
					},
					onData(chunk) {
						flight.chunks.push(chunk);
					},
					onEnd: () => {
						this.#handleAnswer(flight);
					},
					onFail: (failure) => {
						this.#handleFailure(flight, failure);
					},
				},
			),
		};
		this.#flights.add(flight);
		return true;
	}

	protected cancelAttempts(): void {
		clearTimeout(this.#hedgeTimer);
		for (const flight of this.#flights) {
			this.#release(flight);
			flight.attempt.cancel();
		}
	}

	#hedge(): void {
		if (
			!this.isOver &&
			this.#flights.size === 1 &&
			this.attempts < this.call.route.maxAttempts &&
			this.desk.tryRepeat(this.call.service.name)
		) {
			this.openNext();
		}
	}

	#release(flight: Flight): void {
		this.#flights.delete(flight);
		flight.releaseWork();
	}

	#handleFailure(flight: Flight, {isSent, detail}: AttemptFailure): void {
		this.#release(flight);
		this.desk.fleet.recordTrouble(
			flight.backend.id,
			isSent ? 'cut' : 'unreachable',
			detail,
		);
		this.#goOn(isSent ? 'unknown' : 'notRun', detail);
	}

	#handleAnswer(flight: Flight): void {
		this.#release(flight);
		const {head} = flight;
		if (!head) {
			this.#goOn('unknown', 'The answer has no head.');
			return;
		}

		const facts = this.desk.headers.readAnswer(head.headers);
		if (facts.isNotRun || head.status === 421) {
			this.desk.fleet.recordTrouble(
				flight.backend.id,
				head.status === 421 ? 'replaced' : 'refused',
				`Status ${head.status}.`,
			);
			this.#goOn('notRun', `Status ${head.status}.`);
			return;
		}

		const isOwn = facts.request === this.call.facts.request;
		if (!isOwn || !facts.isStamped) {
			this.desk.fleet.recordTrouble(
				flight.backend.id,
				'failed',
				'Not its own.',
			);
			this.#goOn('unknown', 'The answer belongs to no request of this call.');
			return;
		}

		if (head.status >= 500 && this.call.route.kind === 'idempotent') {
			this.#goOn('failed', `Status ${head.status}.`, flight);
			return;
		}

		this.#passOn(flight, head);
	}

	#goOn(outcome: AttemptOutcome, detail: string, answered?: Flight): void {
		this.recordOutcome(outcome, false, detail);
		if (this.#flights.size > 0) {
			return;
		}

		const step = this.decideNext(outcome);
		if (step === 'repeat') {
			this.tryNext();
		} else if (step === 'passOn' && answered?.head) {
			this.#passOn(answered, answered.head);
		} else {
			this.giveUp(detail);
		}
	}

	#passOn({backend, chunks}: Flight, head: AnswerHead): void {
		this.desk.fleet.recordSuccess(backend.id);
		this.desk.journal.recordAttempt(this.call, 'answered', this.where, '');
		this.firstAt = this.desk.readClock();
		const body = Buffer.concat(chunks);
		const {response} = this.call;
		const headers = listEndToEnd(head.headers).filter(
			([name]) => name.toLowerCase() !== 'content-length',
		);
		headers satisfies ReadonlyArray<readonly [string, string]>;
		response.writeHead(head.status, [
			...headers.flat(),
			'Content-Length',
			String(body.length),
			...(this.desk.isStopping() ? ['Connection', 'close'] : []),
		]);
		response.end(body);
		this.end({status: head.status});
	}
}
