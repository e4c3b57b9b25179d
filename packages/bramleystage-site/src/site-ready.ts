/** Waits until the entries of a site can serve requests. */
import {sendHttpRequest, waitFor} from 'bramleystage';
import type {RunningEntry} from 'bramleystage-entry';

const pollIntervalMs = 20;
const readyTimeoutMs = 20_000;

/** Resolves when each entry is ready, has read the table and has a session to every agent; throws after `readyTimeoutMs`. */
export async function waitForReady(
	entries: readonly RunningEntry[],
	agentCount: number,
): Promise<void> {
	const deadline = performance.now() + readyTimeoutMs;
	while (performance.now() < deadline) {
		const checks = entries.map(async ({operatorAddress}) => {
			const dump = await sendHttpRequest({
				method: 'GET',
				url: `http://${operatorAddress}/dump`,
				timeoutMs: 1000,
			});
			const state = dump.isOk()
				? (JSON.parse(dump.value.body.toString()) as {
						tableOffset: number;
						hosts: unknown[];
					})
				: undefined;
			const ready = await sendHttpRequest({
				method: 'GET',
				url: `http://${operatorAddress}/readyz`,
				timeoutMs: 1000,
			});
			const isReady = ready.isOk() && ready.value.status === 200;
			return (
				isReady &&
				state &&
				state.tableOffset > 0 &&
				state.hosts.length >= agentCount
			);
		});
		// eslint-disable-next-line no-await-in-loop -- polls until ready
		const ready = await Promise.all(checks);
		if (ready.every(Boolean)) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop -- polls until ready
		await waitFor(pollIntervalMs);
	}

	throw new Error('The entries of the site did not become ready in time.');
}
