/**
 * Follows the operator's configuration: one long poll is always open, unless
 * another gateway polls and sends the version that it has. A gateway that hears
 * of a newer version reads on where it stopped; if it has got one from elsewhere
 * since, or the store no longer keeps the offset or was restored, the newest
 * configuration is loaded. A version is only ever replaced by a newer one, also
 * after the store was restored from an older copy. Failed calls are retried after
 * a short delay.
 */
import {
	type LifeCycle,
	type Logger,
	type RoutingConfiguration,
	waitFor,
} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';
import type {
	ConfigurationRecord,
	ConfigurationSource,
} from './configuration-record.js';
import type {
	ConfigurationRead,
	StoreFailure,
	StorePort,
} from './platform-port.js';
import {choosePosition, type ReadPosition} from './read-position.js';
import {recordContact, type StoreContact} from './store-contact.js';

/** Time for which a long poll waits, in milliseconds: bounds the time until a silent connection is noticed. */
const pollTimeoutMs = 700;
/** Delay after a first failed call, and before a version is read again that is not there yet, in milliseconds. */
const retryDelayMs = 150;
/** Delay of the next read while the store lacks a version that peers have, in milliseconds. */
const lostVersionDelayMs = 600;
/** Time for which the store waits for the record of a version that a peer announced, in milliseconds. */
const announcedWaitMs = 150;
/** Time for which a load from the store makes peers unnecessary, in milliseconds: after it a peer can still bring a change into force in time. */
const loadGraceMs = 2000;
/** Time for which a version that was announced, or a load without a byte, makes peers unnecessary, in milliseconds: the store responds within a few. */
const silentGraceMs = 300;

export type ConfigurationFollower = {
	readonly configurations: BehaviorSubject<RoutingConfiguration | undefined>;
	/** Steady-clock time as of which there was no newer version, in milliseconds. */
	readonly readAt: () => number;
	/** Whether peers have a newer version that the store does not give to this gateway. */
	readonly needsPeers: () => boolean;
	/** Whether a load from the store is under way. One that takes unusually long does not count. */
	readonly isLoading: () => boolean;
	/** Applies a peer's configuration if it is newer. */
	readonly acceptConfiguration: (configuration: RoutingConfiguration) => void;
	/** Records a peer's version and the steady-clock time as of which the peer read it. */
	readonly acceptVersion: (
		version: number,
		readAt: number,
		announcer?: string,
	) => void;
	/** Returns the address of the peer that announced a version that is not in force here; undefined if there is none. */
	readonly findAnnouncer: () => string | undefined;
};

export type ConfigurationFollowerOptions = {
	readonly store: StorePort;
	/** Returns the age of the last check at which the store is read here, in milliseconds. */
	readonly readMaxAgeMs: () => number;
	/** Called with the era of each answer of the store. */
	readonly recordStoreEra: (era: number) => void;
	readonly contact: StoreContact;
	readonly record: ConfigurationRecord;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

/** How a version came; times are steady-clock times in milliseconds. */
type Origin = {
	readonly source: ConfigurationSource;
	/** When there was no newer version, as known before. */
	readonly readBefore: number;
	/** First sign of the version. */
	readonly signAt: number;
};

/**
 * Computes when the answer of a poll was written, at the earliest: newer versions may have
 * come while it was under way. One without a configuration was written at the end of the wait.
 */
const computeWrittenAt = (
	{configuration}: ConfigurationRead,
	{
		startedAt,
		arrivedAt,
		waitMs,
	}: {startedAt: number; arrivedAt: number | undefined; waitMs: number},
	now: number,
): number =>
	configuration ? (arrivedAt ?? startedAt) : Math.min(now, startedAt + waitMs);

/** Starts following the configuration until the life cycle stops. */
export function followConfiguration(
	options: ConfigurationFollowerOptions,
): ConfigurationFollower {
	const {
		store,
		readMaxAgeMs,
		recordStoreEra,
		contact,
		record,
		lifeCycle,
		logger,
		readClock,
	} = options;
	const configurations = new BehaviorSubject<RoutingConfiguration | undefined>(
		undefined,
	);
	let readAt = Number.NEGATIVE_INFINITY;
	/** Newest version that a peer has announced. */
	let announced = -1;
	let announcer: string | undefined;
	/** When it was announced; steady-clock time in milliseconds. */
	let announcedAt = Number.NEGATIVE_INFINITY;
	let isStoreLost = false;
	const readVersion = () => configurations.value?.version ?? -1;
	record.registerAge(() => readClock() - readAt);
	const applyConfiguration = (
		configuration: RoutingConfiguration,
		{source, readBefore, signAt}: Origin,
	) => {
		const previous = readVersion();
		if (configuration.version > previous) {
			record.recordSign(configuration.version, signAt);
			record.recordApplied(
				configuration,
				{source, previous, readAt: readBefore},
				readClock(),
			);
			configurations.next(configuration);
		}
	};

	const applyRead = (read: ConfigurationRead, origin: Origin) => {
		for (const {key, reason} of read.skipped) {
			logger.warn('configuration.skipped', {key, reason});
		}

		if (read.configuration) {
			applyConfiguration(read.configuration, origin);
		}
	};

	let wake = () => undefined as void;
	/** Where reading continues; undefined if the newest version is to be loaded. */
	let position: ReadPosition | undefined;
	/** When this gateway or the one that informs it last had its turn to refresh; steady-clock time in milliseconds. */
	let refreshedAt = Number.NEGATIVE_INFINITY;
	/** Whether the log went on behind the last page that was read. */
	let hasMore = false;
	/** Version that a complete read did not have although a peer announced it. */
	let missedVersion = -1;
	/** When the load under way began or, after a failed call, when its first bytes arrived; steady-clock time in milliseconds. */
	let loadingSince: number | undefined;
	/** Whether bytes of the answer under way have arrived. */
	let hasArrived = false;
	const isLoading = () =>
		loadingSince !== undefined &&
		readClock() - loadingSince < (hasArrived ? loadGraceMs : silentGraceMs);
	const recordArrival = () => {
		loadingSince ??= readClock();
		hasArrived = true;
	};

	/** Records a failed read; returns the delay until the next one, in milliseconds. */
	const handleFailure = (failure: StoreFailure): number => {
		position = undefined;
		hasMore = false;
		if (failure.kind === 'expired') {
			logger.info('configuration.expired', {detail: failure.detail});
			return retryDelayMs;
		}

		isStoreLost = recordContact(logger, isStoreLost, failure);
		contact.recordFailure(readClock());
		record.recordFailure();
		return contact.computeRetryDelayMs(retryDelayMs);
	};

	/** Reads the store once; returns the delay until the next read, in milliseconds. */
	const step = async (): Promise<number> => {
		const startedAt = readClock();
		const isBehind = announced > readVersion();
		const delayMs =
			isBehind || hasMore ? 0 : readAt + readMaxAgeMs() - startedAt;
		if (delayMs > 0) {
			refreshedAt = startedAt;
			return delayMs;
		}

		const announcedBefore = announced;
		const from = choosePosition(
			position,
			{version: readVersion(), refreshedAt},
			startedAt,
		);
		const isFullRead = from === undefined;
		const waitMs = isBehind ? announcedWaitMs : pollTimeoutMs;
		hasArrived = false;
		loadingSince =
			(isFullRead || isBehind) && !isStoreLost ? startedAt : undefined;
		const read = await (isFullRead
			? store.loadConfiguration(recordArrival)
			: store.awaitConfiguration(from.next, waitMs, recordArrival));
		const arrivedAt = loadingSince;
		loadingSince = undefined;
		if (read.isErr()) {
			return handleFailure(read.error);
		}

		const readSince = isFullRead
			? startedAt
			: computeWrittenAt(
					read.value,
					{startedAt, arrivedAt, waitMs},
					readClock(),
				);
		const origin: Origin = {
			source: isFullRead ? 'load' : 'poll',
			readBefore: readAt,
			signAt: arrivedAt ?? startedAt,
		};
		hasMore = read.value.hasMore === true;
		readAt = hasMore ? readAt : Math.max(readAt, readSince);

		refreshedAt = isFullRead ? startedAt : refreshedAt;
		contact.recordSuccess();
		const {era, next} = read.value;
		recordStoreEra(era);
		applyRead(read.value, origin);
		isStoreLost = recordContact(logger, isStoreLost, undefined);
		if (from && era !== from.era) {
			// The offset belongs to records that the store no longer has.
			position = undefined;
			return 0;
		}

		if (announced <= readVersion()) {
			position = {next, era, version: readVersion(), readAt: startedAt};
			return 0;
		}

		position = undefined;

		if (isFullRead) {
			missedVersion = announcedBefore;
		}

		// A version that the store has lost comes from the peers.
		return missedVersion > readVersion() ? lostVersionDelayMs : retryDelayMs;
	};

	/** Waits for a time, or until a peer announces a newer version. */
	const waitForWake = async (pauseMs: number) => {
		const woken = new Promise<void>((resolve) => {
			wake = resolve;
		});
		await Promise.race([waitFor(pauseMs), woken]);
	};

	void (async () => {
		while (!lifeCycle.isStopped) {
			// Polls are sequential.
			// eslint-disable-next-line no-await-in-loop
			const pauseMs = await step();
			// eslint-disable-next-line no-await-in-loop
			await waitForWake(pauseMs);
		}
	})();

	return {
		configurations,
		acceptConfiguration(configuration) {
			applyConfiguration(configuration, {
				source: 'peer',
				readBefore: readAt,
				signAt: readClock(),
			});
		},
		readAt: () => readAt,
		isLoading,
		needsPeers: () =>
			!isLoading() &&
			announced > readVersion() &&
			(isStoreLost ||
				missedVersion > readVersion() ||
				readClock() - announcedAt >= silentGraceMs),
		findAnnouncer: () => (announced > readVersion() ? announcer : undefined),
		acceptVersion(version, versionReadAt, address) {
			if (version > Math.max(announced, readVersion())) {
				announced = version;
				announcer = address;
				announcedAt = readClock();
				record.recordSign(version, readClock());
				wake();
			} else if (version === readVersion()) {
				readAt = Math.max(readAt, versionReadAt);
			}
		},
	};
}
