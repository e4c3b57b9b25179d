/**
 * Admission control for model requests at an entry. Each customer has a window:
 * the work, in tokens, that it may have in flight from this entry. The window
 * adapts as in delay-based congestion control. It grows in proportion to the
 * customer's weight while its time to first token and the gaps between tokens
 * stay within their targets, and shrinks when they exceed them.
 *
 * Agents schedule fairly by weight. A customer within its share therefore sees
 * little delay and its window grows until all its requests are admitted, while a
 * customer that sends more than its share fills its window, and further requests
 * are refused at once. Entries don't need to know what other entries admit.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Milliseconds} from '../protocol/decision.js';
import type {CustomerId} from '../protocol/ids.js';
import {createFailure, type Failure} from '../protocol/result-codes.js';

export type AdmissionTargets = {
	/** Target time to the first token, in milliseconds. */
	readonly firstTokenMs: Milliseconds;
	/** Target time between tokens, in milliseconds. */
	readonly tokenGapMs: Milliseconds;
};

/** A request to admit. `work` is prompt and answer together, in tokens. */
export type AdmissionRequest = {
	readonly customer: CustomerId;
	readonly weight: number;
	readonly work: number;
	readonly answerTokens: number;
	readonly deadlineMs: Milliseconds;
};

/** Admission state of a customer. `window` and `inFlight` are in tokens. */
type CustomerWindow = {
	weight: number;
	window: number;
	inFlight: number;
	/** Number of requests in flight. */
	requests: number;
	smoothedFirstTokenMs: number;
	smoothedGapMs: number;
	/** When the window last shrank. */
	shrunkAt: Milliseconds;
	/** When the last request arrived. */
	usedAt: Milliseconds;
};

type FirstTokenRequest = Pick<
	AdmissionRequest,
	'customer' | 'work' | 'answerTokens'
>;

export const defaultAdmissionTargets: AdmissionTargets = {
	firstTokenMs: 450,
	tokenGapMs: 40,
};

/** Window of a new customer, in tokens. */
const initialWindow = 8000;
const minWindow = 1000;
const maxWindow = 10_000_000;
/** Growth per window of work within the targets, in tokens per unit of weight. */
const growthPerWindow = 300;
const shrinkFactor = 0.85;
/** Minimum time between two reductions of a window, in milliseconds. */
const shrinkIntervalMs = 250;
const smoothingFactor = 0.2;
/** Time by which each prompt token may delay the first token, in milliseconds. */
const promptMsPerToken = 0.5;
/** Gaps of up to this multiple of the recent minimum don't count as a sign of load. */
const toleratedGapFactor = 1.5;
/** Rise of the recent minimum gap per millisecond, until a shorter gap is seen. */
const minGapDriftPerMs = 0.0005;
/** An idle customer's window is removed after this time, in milliseconds. */
const idleTimeoutMs = 60_000;
const msPerSecond = 1000;

export class AdmissionController {
	readonly #customers = new Map<CustomerId, CustomerWindow>();
	/** Recent minimum gap: the time that links and layers take without load. */
	#minGapMs = Infinity;
	#minGapUpdatedAt: Milliseconds = 0;

	constructor(private readonly targets: AdmissionTargets) {}

	/** Number of customers with a window. */
	get size(): number {
		return this.#customers.size;
	}

	/** Admits a request or refuses it; a refused request has not run. */
	admit(request: AdmissionRequest, now: Milliseconds): Result<void, Failure> {
		const state = this.#findWindow(request.customer, now);
		state.weight = request.weight;
		state.usedAt = now;
		if (state.requests === 0) {
			// One request is always admitted, so that new measurements come in.
			return this.#accept(state, request);
		}

		// An answer may end with its first token, so no later token is considered.
		const expectedMs = state.smoothedFirstTokenMs;
		if (expectedMs > request.deadlineMs) {
			return err(
				createFailure(
					'deadlineUnreachable',
					`The first token is expected after ${Math.round(expectedMs)} ms.`,
					{retryAfterSeconds: computeRetryAfter(state)},
				),
			);
		}

		return state.inFlight + request.work > state.window
			? err(
					createFailure(
						'queueFull',
						"The customer's admission window is full.",
						{
							retryAfterSeconds: computeRetryAfter(state),
						},
					),
				)
			: this.#accept(state, request);
	}

	/** Records the time to the first token of a request. */
	recordFirstToken(
		{customer, work, answerTokens}: FirstTokenRequest,
		tookMs: Milliseconds,
		now: Milliseconds,
	): void {
		const state = this.#findWindow(customer, now);
		state.smoothedFirstTokenMs = smooth(state.smoothedFirstTokenMs, tookMs);
		const promptMs = Math.max(0, work - answerTokens) * promptMsPerToken;
		if (tookMs > this.targets.firstTokenMs + promptMs) {
			updateWindow(state, now);
		} else {
			this.#grow(state, work);
		}
	}

	/** Records the time between two tokens. */
	recordTokenGap(
		customer: CustomerId,
		gapMs: Milliseconds,
		now: Milliseconds,
	): void {
		const state = this.#findWindow(customer, now);
		state.smoothedGapMs = smooth(state.smoothedGapMs, gapMs);
		this.#updateMinGap(gapMs, now);
		if (state.smoothedGapMs > this.#gapTarget) {
			updateWindow(state, now);
		}
	}

	/** Records that an admitted request has ended, whatever its outcome. */
	recordEnd(
		{customer, work}: Pick<AdmissionRequest, 'customer' | 'work'>,
		now: Milliseconds,
	): void {
		const state = this.#findWindow(customer, now);
		state.requests--;
		state.inFlight -= work;
	}

	/** Removes the windows of idle customers. */
	removeIdle(now: Milliseconds): void {
		for (const [customer, {requests, usedAt}] of this.#customers) {
			if (requests === 0 && now - usedAt > idleTimeoutMs) {
				this.#customers.delete(customer);
			}
		}
	}

	/** Describes the windows for the operators' dump. */
	describe(): Record<string, {window: number; inFlight: number}> {
		return Object.fromEntries(
			[...this.#customers].map(([customer, {window, inFlight}]) => [
				customer,
				{window: Math.round(window), inFlight},
			]),
		);
	}

	/** The target for gaps. Slow links raise it, since their delay isn't caused by load. */
	get #gapTarget(): Milliseconds {
		const {tokenGapMs: gapMs} = this.targets;
		const isMeasured = Number.isFinite(this.#minGapMs);
		return isMeasured
			? Math.max(gapMs, this.#minGapMs * toleratedGapFactor)
			: gapMs;
	}

	#updateMinGap(gapMs: Milliseconds, now: Milliseconds): void {
		const drifted =
			this.#minGapMs + (now - this.#minGapUpdatedAt) * minGapDriftPerMs;
		this.#minGapMs = Math.min(gapMs, drifted);
		this.#minGapUpdatedAt = now;
	}

	#accept(
		state: CustomerWindow,
		{work}: AdmissionRequest,
	): Result<void, Failure> {
		state.requests++;
		state.inFlight += work;
		return ok();
	}

	#grow(state: CustomerWindow, work: number): void {
		const isUsed = state.inFlight * 2 > state.window;
		if (isUsed && state.smoothedGapMs <= this.#gapTarget) {
			const grown =
				state.window + (growthPerWindow * state.weight * work) / state.window;
			state.window = Math.min(maxWindow, grown);
		}
	}

	#findWindow(customer: CustomerId, now: Milliseconds): CustomerWindow {
		const state = this.#customers.get(customer);
		if (state) {
			return state;
		}

		const created: CustomerWindow = {
			weight: 1,
			window: initialWindow,
			inFlight: 0,
			requests: 0,
			smoothedFirstTokenMs: 0,
			smoothedGapMs: 0,
			shrunkAt: -Infinity,
			usedAt: now,
		};
		this.#customers.set(customer, created);
		return created;
	}
}

/** Shrinks a window, unless it is mostly unused or was shrunk recently. */
function updateWindow(state: CustomerWindow, now: Milliseconds): void {
	const isUsed = state.inFlight * 2 > state.window;
	if (isUsed && now - state.shrunkAt >= shrinkIntervalMs) {
		state.window = Math.max(minWindow, state.window * shrinkFactor);
		state.shrunkAt = now;
	}
}

const smooth = (previous: number, sample: number) =>
	previous + smoothingFactor * (sample - previous);

const computeRetryAfter = ({smoothedFirstTokenMs}: CustomerWindow) =>
	Math.max(1, Math.ceil(smoothedFirstTokenMs / msPerSecond));
