/** The search of one request for a turn at a server: it asks the owner of the turns, and the next one if that is lost. */
import {type InstanceKey, toLimitKey} from 'bramleystage';
import type {LimitWatch} from './limit-watch.js';
import type {PermitCircle} from './permit-circle.js';
import type {PermitAsk} from './permit-messages.js';
import type {PermitOwner, TurnResult} from './permit-owner.js';

/** Time after which a request may be repeated if no gateway gives turns, in milliseconds. */
export const noOwnerRetryMs = 500;
/** Time by which an answer may be later than the longest wait for a turn, in milliseconds. */
const answerDelayMs = 100;
/** Times that owners are asked for one request. */
const maxAsks = 4;
/** Delay before a request is sent to the gateway that gives the turns now, in milliseconds. */
const movedDelayMs = 50;

export type PermitRequest = {
	/** Time for which the request can wait for its turn, in milliseconds. */
	readonly maxWaitMs: number;
	/** 0 comes first. */
	readonly priority: number;
	readonly customer: string;
};

export type PermitSearchOptions = {
	readonly instance: InstanceKey;
	readonly request: PermitRequest;
	readonly limits: LimitWatch;
	readonly circle: PermitCircle;
	readonly owner: PermitOwner;
	/** `host:port` at which other gateways reach this one. */
	readonly self: string;
	/** Called once, unless the search is cancelled. */
	readonly handleResult: (result: TurnResult) => void;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

/** Describes what is known of an instance's limit. */
export function describeState(
	limits: LimitWatch,
	instance: InstanceKey,
): PermitAsk['limit'] {
	const {perSecond, revision} = limits.describeLimit(instance);
	return {perSecond, revision};
}

export class PermitSearch {
	readonly #until: number;
	#isDone = false;
	#askCount = 0;
	/** Withdraws the request where it waits now. */
	#withdraw: (() => void) | undefined;
	#timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: PermitSearchOptions) {
		this.#until = options.readClock() + options.request.maxWaitMs;
	}

	start(): void {
		const {request, readLinkDelayMs} = this.options;
		// An owner that doesn't answer must not hold a request longer than it can wait.
		this.#timer = setTimeout(
			() => {
				this.#withdraw?.();
				this.#finish({granted: false, retryAfterMs: noOwnerRetryMs});
			},
			request.maxWaitMs + answerDelayMs + readLinkDelayMs(),
		);
		this.#askNext();
	}

	/** Ends the search; returns false if it has ended before. */
	tryCancel(): boolean {
		if (this.#isDone) {
			return false;
		}

		this.#isDone = true;
		clearTimeout(this.#timer);
		this.#withdraw?.();
		return true;
	}

	#askNext(): void {
		if (this.#isDone) {
			return;
		}

		const {instance, request, circle, owner, limits, self, readClock} =
			this.options;
		this.#askCount++;
		const [address] = circle.listOwners(instance);
		if (address === undefined || this.#askCount > maxAsks) {
			this.#finish({granted: false, retryAfterMs: noOwnerRetryMs});
			return;
		}

		const maxWaitMs = Math.max(0, this.#until - readClock());
		if (address === self) {
			this.#withdraw = owner.ask({
				...request,
				instance,
				maxWaitMs,
				handleResult: (result) => {
					this.#handleResult(result);
				},
			});
			return;
		}

		this.#withdraw = circle.findLink(address).ask(
			{
				key: toLimitKey(instance),
				kind: 'requests_per_second',
				amount: 1,
				limit: describeState(limits, instance),
				...request,
				maxWaitMs,
			},
			(answer) => {
				if (answer) {
					limits.acceptNews([{instance, ...answer.limit}]);
					this.#handleResult(answer);
				} else {
					this.#askNext();
				}
			},
		);
	}

	#handleResult(result: TurnResult): void {
		const isMoved = !result.granted && result.isMoved;
		if (isMoved && this.#until - this.options.readClock() > movedDelayMs) {
			setTimeout(() => {
				this.#askNext();
			}, movedDelayMs);
		} else {
			this.#finish(result);
		}
	}

	#finish(result: TurnResult): void {
		if (!this.#isDone) {
			this.#isDone = true;
			clearTimeout(this.#timer);
			this.options.handleResult(result);
		}
	}
}
