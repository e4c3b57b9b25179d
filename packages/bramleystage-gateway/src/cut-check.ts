/**
 * Finds out, when connections to a backend server break, whether its instance has
 * ended: nothing listens at its address then. A broken link, or a server that closes
 * single connections, is no end, and a server that leaves may end as it likes.
 */
import net from 'node:net';
import {
	type InstanceKey,
	type Logger,
	parseAddress,
	type SentRequest,
	toInstanceKey,
	waitFor,
} from 'bramleystage';
import type {Fleet} from './fleet.js';
import type {InstanceWatch} from './instance-watch.js';

/** Timeout for a connection over a sound link, in milliseconds. */
const connectTimeoutMs = 150;
/** Pause before a server that did not refuse a connection is asked again, in milliseconds: it may have broken off its requests first. */
const repeatDelayMs = 100;
const maxRepeats = 2;
/** Time for which the result of a check holds for further broken connections of the instance, in milliseconds. */
const keepResultMs = 2000;

export type ConnectionState = 'open' | 'refused' | 'unknown';
export type CheckConnection = (
	address: string,
	timeoutMs: number,
) => Promise<ConnectionState>;

/** Opens a connection and closes it; tells whether it was accepted. */
export const checkConnection: CheckConnection = async (address, timeoutMs) =>
	new Promise((resolve) => {
		const socket = net.connect(parseAddress(address));
		const finish = (state: ConnectionState) => {
			socket.destroy();
			resolve(state);
		};

		socket.setTimeout(timeoutMs, () => {
			finish('unknown');
		});
		socket.on('connect', () => {
			finish('open');
		});
		socket.on('error', (error: NodeJS.ErrnoException) => {
			finish(error.code === 'ECONNREFUSED' ? 'refused' : 'unknown');
		});
	});

export type CutCheckOptions = {
	readonly fleet: Fleet;
	readonly instances: Pick<InstanceWatch, 'recordRefusal'>;
	readonly checkConnection: CheckConnection;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

type Cut<T> = {
	/** Steady-clock time at which the first connection broke, in milliseconds. */
	readonly at: number;
	readonly runs: T[];
	/** What the connections showed that were tried after it. */
	readonly states: ConnectionState[];
	/** Whether the instance had ended when it was first asked. */
	readonly firstResult: Promise<boolean>;
	hasEnded: boolean;
};

/** An instance that has ended, with the runs whose connections broke so far. */
export type InstanceCut<T> = {
	readonly instance: InstanceKey;
	readonly at: number;
	readonly runs: readonly T[];
	/** Whether it was reported before, with fewer runs. */
	readonly isRepeated: boolean;
};

/** Checks instances; `T` is what the caller wants to know of each run. */
export class CutCheck<T> {
	readonly #cuts = new Map<InstanceKey, Cut<T>>();

	constructor(
		private readonly options: CutCheckOptions,
		/** Called when an instance has ended, and again for each further run. */
		private readonly onEnd: (cut: InstanceCut<T>) => void,
	) {}

	/** Records that the connection of a run broke; resolves to whether its instance has ended, as far as is known soon. */
	async recordCut(sent: SentRequest, run: T): Promise<boolean> {
		const {fleet, readClock} = this.options;
		const listed = fleet.snapshots.value.backends.get(sent.id);
		if (!listed || listed.isDraining) {
			this.options.logger.info('cut.unchecked', {
				backend: sent.id,
				listed: listed ? 'leaving' : 'no',
			});
			return false;
		}

		const instance = toInstanceKey(`${sent.id}@${listed.bornAt}`);
		const known = this.#cuts.get(instance);
		if (known) {
			known.runs.push(run);
			if (known.hasEnded) {
				this.onEnd({
					instance,
					at: known.at,
					runs: known.runs,
					isRepeated: true,
				});
			}

			return known.firstResult;
		}

		const states: ConnectionState[] = [];
		const firstResult = this.#check(sent, states);
		const cut: Cut<T> = {
			at: readClock(),
			runs: [run],
			states,
			firstResult,
			hasEnded: false,
		};
		this.#cuts.set(instance, cut);
		void this.#finish(instance, cut, sent);
		return firstResult;
	}

	async #finish(
		instance: InstanceKey,
		cut: Cut<T>,
		sent: SentRequest,
	): Promise<void> {
		cut.hasEnded = await cut.firstResult;
		for (let count = 0; count < maxRepeats && !cut.hasEnded; count++) {
			// Each check follows the one before.
			/* eslint-disable no-await-in-loop */
			await waitFor(repeatDelayMs);
			cut.hasEnded = await this.#check(sent, cut.states);
			/* eslint-enable no-await-in-loop */
		}

		this.options.logger.info('cut.checked', {
			backend: instance,
			states: cut.states.join(','),
			cut: cut.runs.length,
			ended: cut.hasEnded,
		});
		if (cut.hasEnded) {
			this.onEnd({
				instance,
				at: cut.at,
				runs: cut.runs,
				isRepeated: false,
			});
			await waitFor(keepResultMs);
		}

		this.#cuts.delete(instance);
	}

	async #check(
		{id, address}: SentRequest,
		states: ConnectionState[],
	): Promise<boolean> {
		const {instances, readClock, readLinkDelayMs} = this.options;
		const triedAt = readClock();
		const state = await this.options.checkConnection(
			address,
			connectTimeoutMs + readLinkDelayMs(),
		);
		states.push(state);
		if (state === 'refused') {
			instances.recordRefusal(id, triedAt);
		}

		return state === 'refused';
	}
}
