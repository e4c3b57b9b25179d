/** Execution times of the engine stand-in by accelerator kind. */

/** Time per batch and per layer-token by accelerator kind, in microseconds. */
export const acceleratorKinds = {
	large: {perBatchUs: 400, perLayerTokenUs: 4},
	medium: {perBatchUs: 600, perLayerTokenUs: 8},
	small: {perBatchUs: 900, perLayerTokenUs: 16},
	edge: {perBatchUs: 1500, perLayerTokenUs: 40},
} as const;
export type AcceleratorKind = keyof typeof acceleratorKinds;

const usPerSecond = 1_000_000;
const usPerMs = 1000;

/** Computes the throughput of an accelerator kind, in layer-tokens per second. */
export const computeLayerRate = (kind: AcceleratorKind) =>
	usPerSecond / acceleratorKinds[kind].perLayerTokenUs;

/** Computes the execution time of a batch, in milliseconds. */
export function computeBatchMs(
	kind: AcceleratorKind,
	layerTokens: number,
): number {
	const {perBatchUs, perLayerTokenUs} = acceleratorKinds[kind];
	return (perBatchUs + layerTokens * perLayerTokenUs) / usPerMs;
}
