/** Waits until the entries of a site can serve. */
import {sendHttp, waitFor} from 'bramleystage';
import type {RunningEntry} from 'bramleystage-entry';

const readyStepMs = 20;
const readyTimeoutMs = 20_000;

/** Resolves when each entry is ready and has a session to every agent. */
export async function waitForReady(
	entries: readonly RunningEntry[],
	agentCount: number,
): Promise<void> {
	const until = performance.now() + readyTimeoutMs;
	while (performance.now() < until) {
		const checks = entries.map(async ({operatorAddress}) => {
			const dump = await sendHttp({
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
			const ready = await sendHttp({
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
		await waitFor(readyStepMs);
	}

	throw new Error('The site did not become ready.');
}
