/**
 * Follows the operator's configuration: one long poll is always open, and its
 * answers only ever replace an older version. Calls that fail are repeated
 * after a short pause; a stream that no longer has the offset is read anew.
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
const pollMs = 1000;
/** Pause after a failed call, in milliseconds. */
const retryMs = 150;
/** How often the newest version is read whatever the polls say, in milliseconds. */
const refreshMs = 5000;

export type ConfigurationFollower = {
	readonly configurations: BehaviorSubject<RoutingConfiguration | undefined>;
	/** Present time as of which the store was read last, in milliseconds. */
	readonly readAt: () => number;
	/** Takes a configuration that a peer has. */
	readonly offer: (configuration: RoutingConfiguration) => void;
};

export function followConfiguration(options: {
	readonly store: StorePort;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
}): ConfigurationFollower {
	const {store, lifeCycle, logger, readClock} = options;
	const configurations = new BehaviorSubject<RoutingConfiguration | undefined>(
		undefined,
	);
	let readAt = Number.NEGATIVE_INFINITY;
	const offer = (configuration: RoutingConfiguration) => {
		const known = configurations.value?.version ?? -1;
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

	void (async () => {
		let next: number | undefined;
		let loadedAt = 0;
		let lost = false;
		while (!lifeCycle.isStopped) {
			const isDue = readClock() - loadedAt > refreshMs;
			// Polls follow each other.
			// eslint-disable-next-line no-await-in-loop
			const read = await (next === undefined || isDue
				? store.loadConfiguration()
				: store.awaitConfiguration(next, pollMs));
			if (read.isOk()) {
				readAt = readClock();
				loadedAt = next === undefined || isDue ? readClock() : loadedAt;
				next = read.value.next;
				take(read.value);
				lost = recordContact(logger, lost, undefined);
				continue;
			}

			lost = recordContact(logger, lost, read.error);
			next = undefined;
			// eslint-disable-next-line no-await-in-loop
			await waitFor(retryMs);
		}
	})();

	return {configurations, offer, readAt: () => readAt};
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
