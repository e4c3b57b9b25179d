/**
 * Runs a request to a plain service. The complete answer is read before any of
 * it is forwarded, so that a truncated answer never looks complete. A request
 * that may be repeated is hedged: it also goes to a second server when the
 * first one is slow.
 */
import type {
	AttemptOutcome,
	Backend,
	BackendId,
	SentRequest,
} from 'bramleystage';
import {type AnswerHead, type Attempt, type AttemptFailure} from './attempt.js';
import {type Call, computePriority} from './call.js';
import {
	decideOwnOutcome,
	isOwnAnswer,
	isRefusal,
	isServerError,
	replacedStatus,
} from './answer-status.js';
import {CallRun} from './call-run.js';
import {writeAnswerBytes, writeAnswerHead} from './answer-writer.js';
import type {AttemptRun} from './run-history.js';
import type {RunContext} from './run-context.js';
import {recordServerState} from './server-state.js';

/** Timeout for opening a connection over a sound link, in milliseconds; a live server accepts one within a few milliseconds. */
const connectTimeoutMs = 100;
/** Share of the target latency after which a repeatable request is hedged. */
const hedgeDelayShare = 0.5;

type ActiveAttempt = {
	readonly backend: Backend;
	readonly sent: SentRequest;
	readonly attempt: Attempt;
	readonly releaseWork: () => void;
	head?: AnswerHead;
	readonly chunks: Buffer[];
};

const toRun = ({sent, head}: ActiveAttempt): AttemptRun => ({
	sent,
	progress: head ? 'head' : 'none',
});

export class PlainRun extends CallRun {
	readonly #activeAttempts = new Set<ActiveAttempt>();
	readonly #triedBackends = new Set<BackendId>();
	readonly #hedgeTimer: NodeJS.Timeout | undefined;

	constructor(call: Call, context: RunContext) {
		super(call, context);
		if (call.route.kind === 'idempotent' && call.route.maxAttempts > 1) {
			this.#hedgeTimer = setTimeout(() => {
				this.#sendHedge();
			}, call.route.latencyTargetMs * hedgeDelayShare);
		}
	}

	protected isInFlight(): boolean {
		return [...this.#activeAttempts].some(({attempt}) => attempt.isSent());
	}

	protected openNextAttempt(): boolean {
		const backend = this.context.fleet.chooseBackend(
			this.call.service.name,
			this.#triedBackends,
			this.turns.fullServers,
		);
		if (!backend) {
			return false;
		}

		this.openInTurn(backend.id, () => {
			this.#openAttempt(backend);
		});
		return true;
	}

	protected computeMaxWaitMs(): number {
		return this.remainingMs() - this.call.route.latencyTargetMs;
	}

	protected cancelAttempts(): void {
		clearTimeout(this.#hedgeTimer);
		for (const active of this.#activeAttempts) {
			this.#release(active);
			active.attempt.cancel();
		}
	}

	#openAttempt(backend: Backend): void {
		this.#triedBackends.add(backend.id);
		this.countAttempt();
		this.where = backend.address;
		const {call, context} = this;
		context.limits.recordSend(backend.id, 'request');
		const active: ActiveAttempt = {
			backend,
			sent: {
				id: backend.id,
				address: backend.address,
				sentAt: context.readClock(),
			},
			chunks: [],
			releaseWork: context.fleet.costs.registerWork(
				[{id: backend.id, layers: {from: 0, to: 0}}],
				0,
			),
			attempt: context.openAttempt(
				{
					address: backend.address,
					method: call.method,
					target: call.target,
					headers: context.headers.buildAttemptHeaders(call.headers, {
						remainingMs: this.remainingMs(),
						backend: backend.id,
						customer: call.holder?.customer,
						priority: computePriority(call),
					}),
					body: call.body,
					isHeld: () => true,
					hasServerEnded: async () => context.checkEnd(active.sent),
				},
				{
					timeoutMs: connectTimeoutMs,
					readLinkDelayMs: context.readLinkDelayMs,
					readClock: context.readClock,
				},
				{
					onHead(head) {
						active.head = head;
					},
					onData(chunk) {
						active.chunks.push(chunk);
					},
					onEnd: () => {
						this.#handleAnswer(active);
					},
					onFail: (failure) => {
						this.#handleFailure(active, failure);
					},
				},
			),
		};
		this.#activeAttempts.add(active);
	}

	#sendHedge(): void {
		if (
			!this.isFinished &&
			this.#activeAttempts.size === 1 &&
			!this.turns.isWaiting &&
			this.context.fleet.hasUnlimitedRoom(this.call.service) &&
			this.attempts < this.call.route.maxAttempts &&
			!this.context.crashGuard.isSuspect(this.call) &&
			this.context.trySpendRetry(this.call.service.name)
		) {
			this.openNextAttempt();
		}
	}

	#release(active: ActiveAttempt): void {
		this.#activeAttempts.delete(active);
		active.releaseWork();
	}

	#handleFailure(
		active: ActiveAttempt,
		{isSent, isRefused, detail}: AttemptFailure,
	): void {
		this.#release(active);
		if (isRefused) {
			const {id, sentAt} = active.sent;
			this.context.instances.recordRefusal(id, sentAt);
		}

		this.context.fleet.health.recordFailure(
			active.backend.id,
			isSent ? 'cut' : 'unreachable',
			detail,
		);
		this.where = active.backend.address;
		if (isSent) {
			this.recordOutcome('unknown', toRun(active), detail);
			this.checkCut(toRun(active), () => {
				this.#handleNextStep(active, 'unknown', detail);
			});
		} else {
			this.#handleOutcome(active, 'notRun', detail);
		}
	}

	#handleAnswer(active: ActiveAttempt): void {
		this.#release(active);
		const {head} = active;
		if (!head) {
			this.#handleOutcome(
				active,
				'unknown',
				'The answer ended without a head.',
			);
			return;
		}

		const metadata = this.context.headers.readAnswerHeaders(head.headers);
		recordServerState(this.context, active.sent, metadata, head.status);
		const {request} = this.call.metadata;
		if (isRefusal(metadata, head.status, request)) {
			this.context.fleet.health.recordFailure(
				active.backend.id,
				head.status === replacedStatus ? 'replaced' : 'refused',
				`Status ${head.status}.`,
			);
			this.#handleOutcome(active, 'notRun', `Status ${head.status}.`);
			return;
		}

		if (!isOwnAnswer(metadata, request)) {
			const reason = 'The answer belongs to another request.';
			this.context.fleet.health.recordFailure(
				active.backend.id,
				'failed',
				reason,
			);
			this.#handleOutcome(active, 'unknown', reason);
			return;
		}

		const {health} = this.context.fleet;
		const outcome = decideOwnOutcome(head.status);
		if (outcome === 'answered') {
			health.recordSuccess(active.backend.id);
			this.context.crashGuard.recordSound(this.call);
			this.#acceptAnswer(active, head);
			return;
		}

		const detail = `Status ${head.status}.`;
		if (isServerError(head.status)) {
			health.recordFailure(active.backend.id, 'failed', detail);
		}

		if (outcome === 'failed' && this.call.route.kind !== 'idempotent') {
			this.#acceptAnswer(active, head);
		} else {
			this.#handleOutcome(active, outcome, detail);
		}
	}

	#handleOutcome(
		active: ActiveAttempt,
		outcome: AttemptOutcome,
		detail: string,
	): void {
		this.where = active.backend.address;
		this.recordOutcome(outcome, toRun(active), detail);
		this.#handleNextStep(active, outcome, detail);
	}

	#handleNextStep(
		active: ActiveAttempt,
		outcome: AttemptOutcome,
		detail: string,
	): void {
		if (this.#activeAttempts.size > 0 || this.turns.isWaiting) {
			return;
		}

		const step = this.decideNext(outcome);
		if (step === 'retry') {
			this.tryNextAttempt();
		} else if (step === 'forward' && active.head) {
			this.#forwardAnswer(active, active.head);
		} else {
			this.failAfterAttempt(detail);
		}
	}

	/** Records an answer that is final and forwards it. */
	#acceptAnswer(active: ActiveAttempt, head: AnswerHead): void {
		this.where = active.backend.address;
		this.recordOutcome('answered', toRun(active));
		this.#forwardAnswer(active, head);
	}

	#forwardAnswer({chunks}: ActiveAttempt, head: AnswerHead): void {
		this.recordAnswerStart();
		const body = Buffer.concat(chunks);
		writeAnswerHead(this.call, head, this.context, [
			['Content-Length', String(body.length)],
		]);
		writeAnswerBytes(this.call, body, this.context, true);
		this.end({status: head.status});
	}
}
