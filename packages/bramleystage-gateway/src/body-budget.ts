/**
 * Bytes of callers' request bodies that the process holds, with bounds on their sum. A
 * body is held until its request has ended, as a further attempt may need it. Small
 * bodies have a budget of their own, so that large ones never keep them out.
 */
import type {RequestRecorder} from './request-recorder.js';

/** Size up to which a body counts as small, in bytes. */
const maxSmallBytes = 64 * 1024;
/** Bytes of all small bodies, and of all larger ones; buffers lie outside V8's heap. */
const budgetBytes = {small: 8 * 1024 * 1024, large: 40 * 1024 * 1024} as const;

export type HeldBody = {
	bytes: number;
	isArriving: boolean;
	/** Refuses a request whose body is still arriving. */
	readonly refuse: () => void;
};

const computeSize = (bytes: number): keyof typeof budgetBytes =>
	bytes > maxSmallBytes ? 'large' : 'small';

export class BodyBudget {
	readonly #bodies = new Set<HeldBody>();
	readonly #sums = {small: 0, large: 0};

	/** Number of bytes of all bodies. */
	get heldBytes(): number {
		return this.#sums.small + this.#sums.large;
	}

	/** Takes in a body that begins to arrive. */
	register(refuse: () => void): HeldBody {
		const body = {bytes: 0, isArriving: true, refuse};
		this.#bodies.add(body);
		return body;
	}

	/** Counts bytes that have arrived. Past the budget the longest body that is still arriving is refused. */
	add(body: HeldBody, bytes: number): void {
		if (!this.#bodies.has(body)) {
			return;
		}

		this.#sums[computeSize(body.bytes)] -= body.bytes;
		body.bytes += bytes;
		const size = computeSize(body.bytes);
		this.#sums[size] += body.bytes;
		if (this.#sums[size] > budgetBytes[size]) {
			const [longest] = [...this.#bodies]
				.filter(
					(other) => other.isArriving && computeSize(other.bytes) === size,
				)
				.toSorted((a, b) => b.bytes - a.bytes);
			longest?.refuse();
		}
	}

	/** Records that a body is whole, so that it is refused no more. */
	complete(body: HeldBody): void {
		body.isArriving = false;
	}

	/** Releases a body whose request has ended or was refused. */
	remove(body: HeldBody): void {
		if (this.#bodies.delete(body)) {
			this.#sums[computeSize(body.bytes)] -= body.bytes;
		}
	}
}

/** Creates a budget whose sum is shown in the metrics. */
export function createBodyBudget(
	recorder: Pick<RequestRecorder, 'registerGauge'>,
): BodyBudget {
	const budget = new BodyBudget();
	recorder.registerGauge(
		'body_bytes',
		'Bytes of the bodies of requests in progress',
		() => budget.heldBytes,
	);
	return budget;
}
