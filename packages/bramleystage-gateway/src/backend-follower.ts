/**
 * Follows the platform's list of backend servers by reads at a fixed interval:
 * every entry is rewritten with each heartbeat, so waiting for the next record
 * would wake the process all the time. While another gateway reads the list and
 * sends updates, this one does not read the list.
 */
import {type LifeCycle, type Logger, waitFor} from 'bramleystage';
import type {Fleet} from './fleet.js';
import type {BackendsRead, StorePort} from './platform-port.js';
import type {StoreContact} from './store-contact.js';

/** Time between two reads, in milliseconds; a server that leaves must be noticed within two seconds. */
const readIntervalMs = 600;
/** Time since the last read above which the complete list is read, in milliseconds. */
const maxResumeGapMs = 3000;
/** Delay after a first failed read, in milliseconds. */
const retryDelayMs = 250;
/** Time for which missing entries are kept after an outage, in milliseconds: entries that expired meanwhile are back about two seconds after the store. */
const lapsedEntryGraceMs = 2500;

/** Entries of which is kept that they were logged as left out. */
const maxLoggedReasons = 1000;

export function followBackends(options: {
	readonly store: StorePort;
	readonly fleet: Fleet;
	/** Returns the age of the list at which it is read here, in milliseconds. */
	readonly readMaxAgeMs: () => number;
	readonly contact: StoreContact;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
}): void {
	const {store, fleet, readMaxAgeMs, contact, lifeCycle, logger, readClock} =
		options;
	let next: number | undefined;
	/** Era in which `next` is valid. */
	let nextEra: number | undefined;
	/** Whether the log went on behind the last page that was read. */
	let hasMore = false;
	/** Steady-clock time of the last read here, in milliseconds. */
	let ownReadAt = Number.NEGATIVE_INFINITY;
	/** Steady-clock time from which a complete read replaces the list after an outage, in milliseconds. */
	let replaceAt: number | undefined;
	/** Reasons for which entries are left out, by key, as they were logged. */
	const loggedReasons = new Map<string, string>();
	const logSkipped = ({changes, skipped}: BackendsRead) => {
		for (const {id, backend} of changes) {
			if (backend) {
				loggedReasons.delete(id);
			}
		}

		for (const {key, reason} of skipped) {
			if (loggedReasons.get(key) !== reason) {
				logger.warn('backend.skipped', {backend: key, reason});
			}

			if (loggedReasons.size < maxLoggedReasons) {
				loggedReasons.set(key, reason);
			}
		}
	};

	/** Records a failed read; returns the delay until the next one, in milliseconds. */
	const handleFailure = () => {
		const now = readClock();
		contact.recordFailure(now);
		replaceAt = now + lapsedEntryGraceMs;
		return contact.computeRetryDelayMs(retryDelayMs);
	};

	/** Applies a complete read; `keepsMissing` keeps missing entries, as needed right after an outage. */
	const applyList = (
		{changes}: BackendsRead,
		startedAt: number,
		keepsMissing: boolean,
	) => {
		if (fleet.isListRestored) {
			fleet.applyRestored(changes, startedAt);
		} else if (keepsMissing) {
			fleet.apply(changes, startedAt);
		} else {
			const listed = changes.flatMap(({backend}) => backend ?? []);
			fleet.replace(listed, startedAt);
			return;
		}

		if (!keepsMissing) {
			const present = new Set(changes.map(({id}) => id));
			const missing = [...fleet.snapshots.value.backends.keys()]
				.filter((id) => !present.has(id))
				.map((id) => ({id}));
			fleet.apply(missing, startedAt);
		}
	};

	/** Reads the complete list; returns the delay until the next read, in milliseconds. */
	const load = async (startedAt: number) => {
		const read = await store.loadBackends();
		if (read.isErr()) {
			return handleFailure();
		}

		contact.recordSuccess();
		logSkipped(read.value);
		const {era} = read.value;
		fleet.recordStoreEra(era);
		if (fleet.restoredAt !== undefined) {
			// Entries that the copy lacks are written again, as after an outage.
			const completeAt = fleet.restoredAt + lapsedEntryGraceMs;
			replaceAt = startedAt < completeAt ? completeAt : replaceAt;
		}

		if (next === undefined || era !== nextEra) {
			next = read.value.next;
			nextEra = era;
		}

		const keepsMissing = replaceAt !== undefined && startedAt < replaceAt;
		replaceAt = keepsMissing ? replaceAt : undefined;
		applyList(read.value, startedAt, keepsMissing);
		return readIntervalMs;
	};

	const step = async (): Promise<number> => {
		const startedAt = readClock();
		const delayMs = fleet.readAt + readMaxAgeMs() - startedAt;
		if (delayMs > 0 && !hasMore) {
			return delayMs;
		}

		if (startedAt - ownReadAt > maxResumeGapMs) {
			next = undefined;
		}

		ownReadAt = startedAt;
		const isReplaceDue = replaceAt !== undefined && startedAt >= replaceAt;
		if (next === undefined || isReplaceDue) {
			return load(startedAt);
		}

		const read = await store.readBackends(next);
		if (read.isOk()) {
			contact.recordSuccess();
			fleet.recordStoreEra(read.value.era);
			if (read.value.era !== nextEra) {
				// The offset belongs to records that the store no longer has.
				next = undefined;
				return 0;
			}

			logSkipped(read.value);
			next = read.value.next;
			hasMore = read.value.hasMore ?? false;
			fleet.apply(read.value.changes, hasMore ? fleet.readAt : startedAt);
			return hasMore ? 0 : readIntervalMs;
		}

		next = undefined;
		hasMore = false;
		if (read.error.kind === 'expired') {
			return 0;
		}

		logger.warn('backends.unread', {detail: read.error.detail});
		return handleFailure();
	};

	void (async () => {
		while (!lifeCycle.isStopped) {
			// Reads are sequential.
			// eslint-disable-next-line no-await-in-loop
			await waitFor(await step());
		}
	})();
}
