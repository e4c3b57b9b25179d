/**
 * Synchronizes the configuration and the list of backend servers with peers. It
 * applies the updates of followed peers and answers queries. While this gateway
 * can't read the platform's store, it queries peers itself: after a start during
 * an outage, or when the store serves other hosts but not this one.
 */
import type {LifeCycle, Logger} from 'bramleystage';
import type {ConfigurationFollower} from './configuration-follower.js';
import type {Fleet} from './fleet.js';
import {
	sendPeerQuery,
	type PeerAnswer,
	type PeerQuery,
} from './peer-exchange.js';
import type {GatewayState} from './peer-update.js';

/** How often peers are queried while the store does not answer, in milliseconds. */
const queryIntervalMs = 250;
/** Peers queried at the same time. */
const peersPerQuery = 2;
/** Age of the configuration or the list above which peers are queried, in milliseconds: two reads are missing by then. */
const maxFreshAgeMs = 1500;

export type PeerSyncOptions = {
	readonly follower: ConfigurationFollower;
	readonly fleet: Fleet;
	/** Returns the known addresses of the other gateways. */
	readonly listPeers: () => readonly string[];
	readonly isStopping: () => boolean;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class PeerSync {
	#roundNumber = 0;

	constructor(private readonly options: PeerSyncOptions) {
		options.lifeCycle.registerInterval(queryIntervalMs, () => {
			void this.#queryPeers(options.readClock());
		});
	}

	/** Answers a peer's query with the configuration and the list if they are newer here. */
	answer(query: PeerQuery): PeerAnswer {
		const {follower, fleet, readClock} = this.options;
		const configuration = follower.configurations.value;
		const ageMs = readClock() - fleet.readAt;
		const isNewer =
			fleet.hasBackends &&
			(query.listAgeMs === null || ageMs < query.listAgeMs);
		return {
			listAgeMs: fleet.hasBackends ? ageMs : null,
			isStopping: this.options.isStopping(),
			...(configuration &&
				configuration.version > query.version && {configuration}),
			...(isNewer && {
				list: {backends: [...fleet.snapshots.value.backends.values()], ageMs},
			}),
		};
	}

	/** Applies the state that a followed peer has sent. */
	acceptUpdate({
		storeEra,
		reader,
		version,
		configurationReadAt,
		listReadAt,
		backends,
	}: GatewayState) {
		const {follower, fleet} = this.options;
		if (storeEra !== undefined) {
			fleet.recordStoreEra(storeEra);
		}

		follower.acceptVersion(version, configurationReadAt);
		if (listReadAt > fleet.readAt) {
			fleet.replaceByPeerList([...backends.values()], listReadAt, reader);
		}
	}

	async #queryPeers(now: number): Promise<void> {
		const {follower, fleet, listPeers} = this.options;
		const isFresh =
			!follower.needsPeers() &&
			now - follower.readAt() < maxFreshAgeMs &&
			now - fleet.readAt < maxFreshAgeMs;
		const peers = listPeers();
		if (isFresh || peers.length === 0) {
			return;
		}

		const query = {
			version: follower.configurations.value?.version ?? -1,
			listAgeMs: Number.isFinite(fleet.readAt) ? now - fleet.readAt : null,
		};
		this.#roundNumber++;
		const count = Math.min(peersPerQuery, peers.length);
		const selected = Array.from(
			{length: count},
			(_, index) =>
				peers[(this.#roundNumber * count + index) % peers.length] ?? '',
		);
		await Promise.all(
			selected.map(async (address) => {
				const answer = await sendPeerQuery(address, query);
				if (answer.isOk()) {
					this.#applyAnswer(address, answer.value);
				} else {
					this.options.logger.debug('peer.unreachable', {
						address,
						detail: answer.error.detail,
					});
				}
			}),
		);
	}

	#applyAnswer(address: string, {configuration, list}: PeerAnswer): void {
		const {follower, fleet, logger, readClock} = this.options;
		if (configuration) {
			logger.info('configuration.received', {
				from: address,
				version: configuration.version,
			});
			follower.acceptConfiguration(configuration);
		}

		if (list && readClock() - list.ageMs > fleet.readAt) {
			logger.info('backends.received', {
				from: address,
				age_ms: Math.round(list.ageMs),
			});
			fleet.replaceByPeerList(list.backends, readClock() - list.ageMs, address);
		}
	}
}
