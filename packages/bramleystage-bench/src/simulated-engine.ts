/**
 * Simulates the timing of a model engine with continuous batching. As in the
 * stand-in engine, a batch costs a fixed time plus a time per layer-token (one
 * token run through one layer). Nothing is computed.
 */
import {
	type AcceleratorKind,
	acceleratorKinds,
	type VirtualClock,
} from 'bramleystage-stand-ins';

export type SimulatedStep = {
	readonly layerTokens: number;
	readonly finish: () => void;
};

const maxBatchSteps = 64;
const usPerMs = 1000;

export class SimulatedEngine {
	/** Factor applied to the time of every batch; the engine is slow above 1. */
	slowdownFactor = 1;
	/** Total time of all batches, in milliseconds of virtual time. */
	busyMs = 0;
	readonly #waitingSteps: SimulatedStep[] = [];
	#isRunning = false;

	constructor(
		readonly kind: AcceleratorKind,
		private readonly time: VirtualClock,
	) {}

	/** Rate that the engine reports, in layer-tokens per second; excludes the fixed time per batch. */
	get layerTokensPerSecond(): number {
		return 1_000_000 / acceleratorKinds[this.kind].perLayerTokenUs;
	}

	run(step: SimulatedStep): void {
		this.#waitingSteps.push(step);
		if (!this.#isRunning) {
			this.#isRunning = true;
			// Deferred, so that steps submitted at the same time share a batch.
			this.time.schedule(0, () => {
				this.#runBatch();
			});
		}
	}

	#runBatch(): void {
		const batch = this.#waitingSteps.splice(0, maxBatchSteps);
		if (batch.length === 0) {
			this.#isRunning = false;
			return;
		}

		const {perBatchUs, perLayerTokenUs} = acceleratorKinds[this.kind];
		const totalLayerTokens = batch.reduce(
			(sum, {layerTokens}) => sum + layerTokens,
			0,
		);
		const batchMs =
			((perBatchUs + totalLayerTokens * perLayerTokenUs) *
				this.slowdownFactor) /
			usPerMs;
		this.busyMs += batchMs;
		this.time.schedule(batchMs, () => {
			for (const {finish} of batch) {
				finish();
			}

			this.time.schedule(0, () => {
				this.#runBatch();
			});
		});
	}
}
