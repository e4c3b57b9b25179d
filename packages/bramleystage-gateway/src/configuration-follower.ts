/**
 * Follows the operator's configuration: one long poll is always open, unless
 * another gateway polls and tells the version that it has. A newer version only
 * ever replaces an older one. Calls that fail are repeated after a short pause;
 * a stream that no longer has the offset is read anew.
 */
import {
	type LifeCycle,
	type Logger,
	type RoutingConfiguration,
	waitFor,
} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';
import type {
	ConfigurationRead,
	StoreFailure,
	StorePort,
} from './platform-port.js';

/** Longest wait of a poll, in milliseconds: bounds how long a connection that went silent goes unnoticed. */
const pollMs = 700;
/** Pause after a failed call, in milliseconds. */
const retryMs = 150;
/** Age of what is known at which the store is read here though another gateway polls it, in milliseconds. */
const toldIntervalMs = 1100;
/** How often the newest version is read whatever the polls say, in milliseconds. */
const refreshMs = 5000;

export type ConfigurationFollower = {
	readonly configurations: BehaviorSubject<RoutingConfiguration | undefined>;
	/** Present time as of which no newer version was there, in milliseconds. */
	readonly readAt: () => number;
	/** Whether a newer version is known of and the store does not give it. */
	readonly isCutOff: () => boolean;
	/** Takes a configuration that a peer has. */
	readonly offer: (configuration: RoutingConfiguration) => void;
	/** Takes the version that a peer has, and the present time as of which it read it. */
	readonly acceptVersion: (version: number, readAt: number) => void;
};

export type ConfigurationFollowerOptions = {
	readonly store: StorePort;
	/** Whether another gateway polls the store and tells what it finds. */
	readonly isTold: () => boolean;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

/** Starts to follow; the life cycle ends it. */
export function followConfiguration(
	options: ConfigurationFollowerOptions,
): ConfigurationFollower {
	const {store, isTold, lifeCycle, logger, readClock} = options;
	const configurations = new BehaviorSubject<RoutingConfiguration | undefined>(
		undefined,
	);
	let readAt = Number.NEGATIVE_INFINITY;
	/** Newest version that a peer told of. */
	let announced = -1;
	let isLost = false;
	const readVersion = () => configurations.value?.version ?? -1;
	const offer = (configuration: RoutingConfiguration) => {
		const known = readVersion();
		if (configuration.version > known) {
			logger.info('configuration.applied', {
				version: configuration.version,
				previous: known,
				routes: configuration.routes.length,
			});
			configurations.next(configuration);
		}
	};

	const take = (read: ConfigurationRead) => {
		for (const {key, reason} of read.skipped) {
			logger.warn('configuration.skipped', {key, reason});
		}

		if (read.configuration) {
			offer(read.configuration);
		}
	};

	let wake = () => undefined as void;
	let next: number | undefined;
	let loadedAt = Number.NEGATIVE_INFINITY;
	/** Reads the store once; gives the pause until the next look, in milliseconds. */
	const step = async (): Promise<number> => {
		const askedAt = readClock();
		const isBehind = announced > readVersion();
		const restMs = readAt + toldIntervalMs - askedAt;
		if (isTold() && !isBehind && restMs > 0) {
			next = undefined;
			return restMs;
		}

		const isWhole =
			next === undefined || isBehind || askedAt - loadedAt > refreshMs;
		const read = await (isWhole || next === undefined
			? store.loadConfiguration()
			: store.awaitConfiguration(next, pollMs));
		if (read.isErr()) {
			isLost = recordContact(logger, isLost, read.error);
			next = undefined;
			return retryMs;
		}

		readAt = Math.max(readAt, isWhole ? askedAt : readClock());
		loadedAt = isWhole ? askedAt : loadedAt;
		next = read.value.next;
		take(read.value);
		isLost = recordContact(logger, isLost, undefined);
		return announced > readVersion() ? retryMs : 0;
	};

	/** Waits for a time, or until a peer tells of a newer version. */
	const waitForWake = async (pauseMs: number) => {
		const woken = new Promise<void>((resolve) => {
			wake = resolve;
		});
		await Promise.race([waitFor(pauseMs), woken]);
	};

	void (async () => {
		while (!lifeCycle.isStopped) {
			// Polls follow each other.
			// eslint-disable-next-line no-await-in-loop
			const pauseMs = await step();
			// eslint-disable-next-line no-await-in-loop
			await waitForWake(pauseMs);
		}
	})();

	return {
		configurations,
		offer,
		readAt: () => readAt,
		isCutOff: () => isLost && announced > readVersion(),
		acceptVersion(version, versionReadAt) {
			if (version > Math.max(announced, readVersion())) {
				announced = version;
				wake();
			} else if (version === readVersion()) {
				readAt = Math.max(readAt, versionReadAt);
			}
		},
	};
}

/** Logs when the store is lost and when it is back; gives whether it is lost. */
function recordContact(
	logger: Logger,
	wasLost: boolean,
	failure: StoreFailure | undefined,
): boolean {
	if (failure && !wasLost) {
		logger.warn('store.lost', {kind: failure.kind, detail: failure.detail});
	} else if (!failure && wasLost) {
		logger.info('store.regained');
	}

	return failure !== undefined;
}
