/**
 * Admission of model requests at an entry. Each customer has a window: the
 * work that it may have in flight from this entry. The window follows what the
 * customer's own requests see, as delay-based congestion control does: it
 * grows, by weight, while first tokens and gaps stay within their targets, and
 * shrinks when they do not. Agents are fair by weight, so a customer within
 * its share sees little delay and grows until it is served in full, while one
 * that asks for more fills its own window and is refused at once. No entry
 * needs to know what the others admit.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Milliseconds} from '../protocol/decision.js';
import type {CustomerId} from '../protocol/ids.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';

export type AdmissionTargets = {
	/** Time to the first token that windows are steered by, in milliseconds. */
	readonly firstTokenMs: Milliseconds;
	/** Time between tokens that windows are steered by, in milliseconds. */
	readonly gapMs: Milliseconds;
};

/** One request as admission sees it; work is in tokens. */
export type AdmissionRequest = {
	readonly customer: CustomerId;
	readonly weight: number;
	readonly work: number;
	readonly answerTokens: number;
	readonly deadlineMs: Milliseconds;
};

type CustomerWindow = {
	weight: number;
	window: number;
	inFlight: number;
	requests: number;
	firstTokenMs: number;
	gapMs: number;
	/** When the window last shrank. */
	shrunkAt: Milliseconds;
	usedAt: Milliseconds;
};

export const defaultAdmissionTargets: AdmissionTargets = {
	firstTokenMs: 450,
	gapMs: 40,
};

/** Window of a customer that nothing is known of, in tokens. */
const firstWindow = 8000;
const leastWindow = 1000;
const largestWindow = 10_000_000;
/** Growth for each window of work that ended well, in tokens for each weight. */
const growth = 300;
const shrinkFactor = 0.85;
/** A window shrinks at most once in this time, in milliseconds. */
const shrinkIntervalMs = 250;
const smoothing = 0.2;
/** A window that was not used for this long is forgotten, in milliseconds. */
const idleMs = 60_000;
const msPerSecond = 1000;

export class Admission {
	readonly #customers = new Map<CustomerId, CustomerWindow>();

	constructor(private readonly targets: AdmissionTargets) {}

	/** Number of customers that a window is held for. */
	get size(): number {
		return this.#customers.size;
	}

	/** Admits a request, or refuses it as not run. */
	decide(request: AdmissionRequest, now: Milliseconds): Result<void, Failure> {
		const known = this.#findWindow(request.customer, now);
		known.weight = request.weight;
		known.usedAt = now;
		if (known.requests === 0) {
			// One request is always let in, so that windows are measured anew.
			return this.#accept(known, request);
		}

		const expectedMs = known.firstTokenMs + request.answerTokens * known.gapMs;
		if (expectedMs > request.deadlineMs) {
			return err(
				createFailure(
					'deadlineUnreachable',
					`The answer is expected to take ${Math.round(expectedMs)} ms.`,
					{retryAfterSeconds: computeRetryAfter(known)},
				),
			);
		}

		return known.inFlight + request.work > known.window
			? err(
					createFailure('queueFull', 'The customer has its share in flight.', {
						retryAfterSeconds: computeRetryAfter(known),
					}),
				)
			: this.#accept(known, request);
	}

	/** Takes the time that a customer's request had to wait for its first token. */
	recordFirstToken(
		{customer, work}: Pick<AdmissionRequest, 'customer' | 'work'>,
		tookMs: Milliseconds,
		now: Milliseconds,
	): void {
		const known = this.#findWindow(customer, now);
		known.firstTokenMs = smooth(known.firstTokenMs, tookMs);
		if (tookMs > this.targets.firstTokenMs) {
			updateWindow(known, now);
		} else {
			this.#grow(known, work);
		}
	}

	/** Takes the time between two tokens. */
	recordGap(
		customer: CustomerId,
		gapMs: Milliseconds,
		now: Milliseconds,
	): void {
		const known = this.#findWindow(customer, now);
		known.gapMs = smooth(known.gapMs, gapMs);
		if (known.gapMs > this.targets.gapMs) {
			updateWindow(known, now);
		}
	}

	/** Records that an admitted request has ended, however it did. */
	finish(
		{customer, work}: Pick<AdmissionRequest, 'customer' | 'work'>,
		now: Milliseconds,
	): void {
		const known = this.#findWindow(customer, now);
		known.requests--;
		known.inFlight -= work;
	}

	/** Forgets customers that have been idle. */
	sweep(now: Milliseconds): void {
		for (const [customer, {requests, usedAt}] of this.#customers) {
			if (requests === 0 && now - usedAt > idleMs) {
				this.#customers.delete(customer);
			}
		}
	}

	/** Describes the windows, for the dump. */
	describe(): Record<string, {window: number; inFlight: number}> {
		return Object.fromEntries(
			[...this.#customers].map(([customer, {window, inFlight}]) => [
				customer,
				{window: Math.round(window), inFlight},
			]),
		);
	}

	#accept(
		known: CustomerWindow,
		{work}: AdmissionRequest,
	): Result<void, Failure> {
		known.requests++;
		known.inFlight += work;
		return ok();
	}

	#grow(known: CustomerWindow, work: number): void {
		const isUsed = known.inFlight * 2 > known.window;
		if (isUsed && known.gapMs <= this.targets.gapMs) {
			const grown =
				known.window + (growth * known.weight * work) / known.window;
			known.window = Math.min(largestWindow, grown);
		}
	}

	#findWindow(customer: CustomerId, now: Milliseconds): CustomerWindow {
		const known = this.#customers.get(customer);
		if (known) {
			return known;
		}

		const created: CustomerWindow = {
			weight: 1,
			window: firstWindow,
			inFlight: 0,
			requests: 0,
			firstTokenMs: 0,
			gapMs: 0,
			shrunkAt: -Infinity,
			usedAt: now,
		};
		this.#customers.set(customer, created);
		return created;
	}
}

function updateWindow(known: CustomerWindow, now: Milliseconds): void {
	const isUsed = known.inFlight * 2 > known.window;
	if (isUsed && now - known.shrunkAt >= shrinkIntervalMs) {
		known.window = Math.max(leastWindow, known.window * shrinkFactor);
		known.shrunkAt = now;
	}
}

const smooth = (previous: number, sample: number) =>
	previous + smoothing * (sample - previous);

const computeRetryAfter = ({firstTokenMs}: CustomerWindow) =>
	Math.max(1, Math.ceil(firstTokenMs / msPerSecond));
