/** A delay that can be awaited. */

/** Resolves after a delay in milliseconds. */
export async function waitFor(durationMs: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}
