/** Samples the readiness check of an entry, which shows whether it accepts requests. */
import {sendHttpRequest, waitFor} from 'bramleystage';
import type {FaultWindow} from './table-faults.js';

type Sample = {readonly at: number; readonly isReady: boolean};

const sampleIntervalMs = 100;
const timeoutMs = 1000;

export class ReadinessSampler {
	readonly #samples: Sample[] = [];
	#isStopped = false;

	constructor(
		private readonly address: string,
		private readonly readClock: () => number,
	) {
		void this.#run();
	}

	stop(): void {
		this.#isStopped = true;
	}

	/** Computes the share of the samples in a window at which the entry wasn't ready. */
	computeNotReadyShare({from, until}: FaultWindow): number {
		const samples = this.#samples.filter(({at}) => at >= from && at <= until);
		const notReadyCount = samples.filter(({isReady}) => !isReady).length;
		return Number((notReadyCount / Math.max(1, samples.length)).toFixed(3));
	}

	async #run(): Promise<void> {
		/* eslint-disable no-await-in-loop -- one sample at a time */
		while (!this.#isStopped) {
			const at = this.readClock();
			const response = await sendHttpRequest({
				method: 'GET',
				url: `http://${this.address}/readyz`,
				timeoutMs,
			});
			const isReady = response.isOk() && response.value.status === 200;
			this.#samples.push({at, isReady});
			await waitFor(sampleIntervalMs);
		}
		/* eslint-enable no-await-in-loop */
	}
}
