/**
 * Finds out, when connections to a backend server break, whether its instance has
 * ended. A refused connection shows it at once. An address that closes connections or
 * is silent may belong to a server that is overloaded or cut off, so that the list has
 * to confirm it: the entry goes, or another instance stands in its place. A broken
 * link, or a server that closes single connections, is no end, and a server that
 * leaves may end as it likes.
 */
import {
	type Departures,
	findSentInstance,
	type InstanceKey,
	type LifeCycle,
	type Logger,
	recordDepartures,
	type SentRequest,
	waitFor,
} from 'bramleystage';
import type {CheckConnection, ConnectionState} from './connection-check.js';
import type {Fleet} from './fleet.js';
import type {InstanceWatch} from './instance-watch.js';

/** Timeout for a connection over a sound link, in milliseconds. */
const connectTimeoutMs = 150;
/** Pause before a server that did not refuse a connection is asked again, in milliseconds: it may have broken off its requests first. */
const repeatDelayMs = 100;
const maxRepeats = 2;
/** Time within which the list shows an end, in milliseconds: three heartbeats and its reading. */
const confirmMs = 6000;
/** How often the list is looked at meanwhile, in milliseconds. */
const confirmIntervalMs = 200;
/** Time for which the result of a check holds for further broken connections of the instance, in milliseconds. */
const keepResultMs = 2000;
/** Time for which a server that leaves serves on at least, in milliseconds: one that breaks off its requests sooner has ended. */
const minLeavingMs = 1500;
/** Time within which connections that break belong to one end, in milliseconds. */
const sameEndMs = 500;
/** Runs that are kept of one end. */
const maxRuns = 150;
/** Ends that wait for the list at the same time; with more of them servers are overloaded or cut off. */
const maxUnconfirmed = 32;

export type CutCheckOptions = {
	readonly fleet: Pick<Fleet, 'snapshots'>;
	readonly instances: Pick<InstanceWatch, 'recordRefusal'>;
	readonly checkConnection: CheckConnection;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

type Cut<T> = {
	readonly instance: InstanceKey;
	readonly sent: SentRequest;
	/** Steady-clock time at which the first connection broke, in milliseconds. */
	readonly at: number;
	readonly runs: T[];
	/** What the connections showed that were tried after it. */
	readonly states: ConnectionState[];
	/** Whether the instance seemed to have ended when it was first asked. */
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
	/** The newest cut of each instance. */
	readonly #cuts = new Map<InstanceKey, Cut<T>>();
	#unconfirmed = 0;
	#departures: Departures = new Map();

	constructor(
		private readonly options: CutCheckOptions,
		/** Called when an instance has ended, and again for each further run. */
		private readonly onEnd: (cut: InstanceCut<T>) => void,
	) {
		const {fleet, lifeCycle, readClock} = options;
		let {backends} = fleet.snapshots.value;
		const subscription = fleet.snapshots.subscribe((next) => {
			this.#departures = recordDepartures(
				this.#departures,
				backends,
				next.backends,
				readClock(),
			);
			({backends} = next);
		});
		lifeCycle.register(() => {
			subscription.unsubscribe();
		});
	}

	/** Records that the connection of a run broke; resolves to whether its instance seems to have ended, as far as is known soon. */
	async recordCut(sent: SentRequest, run: T): Promise<boolean> {
		const now = this.options.readClock();
		const found = this.#findInstance(sent);
		const leavingMs = found?.departure && now - found.departure.at;
		if (!found || (leavingMs !== undefined && leavingMs >= minLeavingMs)) {
			this.options.logger.info('cut.unchecked', {
				backend: sent.id,
				listed: found?.departure?.kind ?? 'no',
			});
			return false;
		}

		const {instance} = found;
		const known = this.#cuts.get(instance);
		if (known && (known.hasEnded || now - known.at < sameEndMs)) {
			this.#addRun(known, run);
			return known.firstResult;
		}

		const states: ConnectionState[] = [];
		const firstResult = this.#check(sent, states);
		const cut: Cut<T> = {
			instance,
			sent,
			at: now,
			runs: [run],
			states,
			firstResult: this.#describeFirst(firstResult),
			hasEnded: false,
		};
		this.#cuts.set(instance, cut);
		void this.#finish(cut, firstResult);
		return cut.firstResult;
	}

	#addRun(cut: Cut<T>, run: T): void {
		if (cut.runs.length >= maxRuns) {
			return;
		}

		cut.runs.push(run);
		if (cut.hasEnded) {
			const {instance, at, runs} = cut;
			this.onEnd({instance, at, runs, isRepeated: true});
		}
	}

	async #describeFirst(state: Promise<ConnectionState>): Promise<boolean> {
		return (await state) !== 'open';
	}

	async #finish(cut: Cut<T>, first: Promise<ConnectionState>): Promise<void> {
		cut.hasEnded = (await first) === 'refused';
		for (let count = 0; count < maxRepeats && !cut.hasEnded; count++) {
			// Each check follows the one before.
			/* eslint-disable no-await-in-loop */
			await waitFor(repeatDelayMs);
			cut.hasEnded = (await this.#check(cut.sent, cut.states)) === 'refused';
			/* eslint-enable no-await-in-loop */
		}

		const evidence = cut.hasEnded ? 'refused' : await this.#tryConfirm(cut);
		cut.hasEnded = evidence !== undefined;
		const {instance, at, runs, states} = cut;
		this.options.logger.info('cut.checked', {
			backend: instance,
			states: states.join(','),
			cut: runs.length,
			ended: evidence ?? 'no',
		});
		if (cut.hasEnded) {
			this.onEnd({instance, at, runs, isRepeated: false});
			await waitFor(keepResultMs);
		}

		if (this.#cuts.get(instance) === cut) {
			this.#cuts.delete(instance);
		}
	}

	async #tryConfirm(cut: Cut<T>) {
		if (this.#unconfirmed >= maxUnconfirmed) {
			return undefined;
		}

		this.#unconfirmed++;
		const evidence = await this.#confirm(cut);
		this.#unconfirmed--;
		return evidence;
	}

	/** Watches the list for an end of the instance; undefined if it shows none in time. */
	async #confirm(
		cut: Cut<T>,
	): Promise<'refused' | 'replaced' | 'removed' | undefined> {
		const {lifeCycle, readClock} = this.options;
		let isRemovalChecked = false;
		while (readClock() - cut.at < confirmMs && !lifeCycle.isStopped) {
			const {departure, isAddressTaken} = this.#findDeparture(cut);
			if (isAddressTaken || departure === 'replaced') {
				return 'replaced';
			}

			if (departure === 'leaving') {
				return undefined;
			}

			if (departure === 'removed' && !isRemovalChecked) {
				isRemovalChecked = true;
				// A server that leaves without notice serves on for a while.
				// eslint-disable-next-line no-await-in-loop
				const state = await this.#check(cut.sent, cut.states);
				if (state !== 'open') {
					return state === 'refused' ? state : departure;
				}
			}

			// eslint-disable-next-line no-await-in-loop
			await waitFor(confirmIntervalMs);
		}

		return undefined;
	}

	/** Finds what the list shows of an instance whose connections broke. */
	#findDeparture({instance, sent}: Cut<T>) {
		const {backends} = this.options.fleet.snapshots.value;
		const departure = this.#departures.get(sent.id);
		return {
			departure: departure?.instance === instance ? departure.kind : undefined,
			isAddressTaken: [...backends.values()].some(
				({id, address}) => address === sent.address && id !== sent.id,
			),
		};
	}

	#findInstance(sent: SentRequest) {
		const {backends} = this.options.fleet.snapshots.value;
		return findSentInstance(this.#departures, backends, sent);
	}

	async #check(
		{id, address}: SentRequest,
		states: ConnectionState[],
	): Promise<ConnectionState> {
		const {instances, readClock, readLinkDelayMs, checkConnection} =
			this.options;
		const triedAt = readClock();
		const state = await checkConnection(
			address,
			connectTimeoutMs + readLinkDelayMs(),
		);
		states.push(state);
		if (state === 'refused') {
			instances.recordRefusal(id, triedAt);
		}

		return state;
	}
}
