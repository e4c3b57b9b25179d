/**
 * Synchronizes the configuration and the list of backend servers with peers. It
 * applies the updates of followed peers and answers queries. While this gateway
 * can't read the platform's store, it queries peers itself: after a start during
 * an outage, or when the store serves other hosts but not this one. The
 * configuration and the list are asked for by queries of their own, and each from
 * one peer at a time: copies beside each other would only fill the link.
 */
import type {LifeCycle, Logger} from 'bramleystage';
import type {ConfigurationFollower} from './configuration-follower.js';
import type {Fleet} from './fleet.js';
import {
	answerSpanMs,
	sendPeerQuery,
	type PeerAnswer,
	type PeerQuery,
	type PeerQueryFailure,
} from './peer-exchange.js';
import type {OpenPeerSocket} from './peer-socket.js';
import type {GatewayState} from './peer-update.js';
import {QueryChoice} from './query-choice.js';

/** How often it is checked whether peers are to be queried, in milliseconds. */
const queryIntervalMs = 250;
/** Peers that are queried one after the other, until one has something newer. */
const peersPerRound = 2;
/** Age of the configuration or the list above which peers are queried, in milliseconds: two reads are missing by then. */
const maxFreshAgeMs = 1500;
/** Upper limit of the time for which a slow answer is awaited, in milliseconds. */
const maxAnswerSpanMs = 4 * answerSpanMs;

/** By how much a peer's list must be newer than one that was read here, in milliseconds: longer than the interval of pings. */
const minListLeadMs = 400;

/** What a query asks for. */
type Subject = 'configuration' | 'list';

export type PeerSyncOptions = {
	readonly follower: ConfigurationFollower;
	readonly fleet: Fleet;
	/** Returns the known addresses of the other gateways. */
	readonly listPeers: () => readonly string[];
	readonly isStopping: () => boolean;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Returns a number from 0 to below 1, for the choice of peers. */
	readonly drawRandom?: () => number;
	readonly openSocket?: OpenPeerSocket;
};

export class PeerSync {
	readonly #choices: Record<Subject, QueryChoice>;
	/** Cancels the queries under way. */
	readonly #rounds = new Map<Subject, AbortController>();
	/** Time after which a configuration under way must be worth waiting for, in milliseconds; it doubles with each one that was not. */
	#configurationSpanMs = answerSpanMs;

	constructor(private readonly options: PeerSyncOptions) {
		const {follower, lifeCycle, readClock, drawRandom = Math.random} = options;
		this.#choices = {
			configuration: new QueryChoice(drawRandom),
			list: new QueryChoice(drawRandom),
		};
		lifeCycle.registerInterval(queryIntervalMs, () => {
			const now = readClock();
			void this.#runRound('configuration', now);
			void this.#runRound('list', now);
		});
		const subscription = follower.configurations.subscribe(() => {
			this.#configurationSpanMs = answerSpanMs;
			// The store may have given what a query is under way for.
			if (!this.#isNeeded('configuration', readClock())) {
				this.#rounds.get('configuration')?.abort();
			}
		});
		lifeCycle.register(() => {
			subscription.unsubscribe();
			for (const round of this.#rounds.values()) {
				round.abort();
			}
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
	acceptUpdate(
		{
			storeEra,
			reader,
			version,
			configurationReadAt,
			listReadAt,
			backends,
		}: GatewayState,
		address?: string,
	) {
		const {follower, fleet} = this.options;
		if (storeEra !== undefined) {
			fleet.recordStoreEra(storeEra);
		}

		follower.acceptVersion(version, configurationReadAt, address);
		// Two gateways that read the store right after each other would else each take the
		// other's list, and neither would find itself informed.
		const marginMs = fleet.reader === undefined ? minListLeadMs : 0;
		if (listReadAt > fleet.readAt + marginMs) {
			fleet.replaceByPeerList([...backends.values()], listReadAt, reader);
		}
	}

	/** Whether the state here is so old, or lacks so much, that peers may have a newer one. */
	#isNeeded(subject: Subject, now: number): boolean {
		const {follower, fleet} = this.options;
		return subject === 'list'
			? now - fleet.readAt >= maxFreshAgeMs
			: follower.needsPeers() || now - follower.readAt() >= maxFreshAgeMs;
	}

	/** Queries the next peers one after the other, unless queries for the same are under way. */
	async #runRound(subject: Subject, now: number): Promise<void> {
		const {follower, listPeers, readClock} = this.options;
		const isWanted = (at: number) =>
			this.#isNeeded(subject, at) &&
			!(subject === 'configuration' && follower.isLoading());
		if (this.#rounds.has(subject) || !isWanted(now)) {
			return;
		}

		const round = new AbortController();
		this.#rounds.set(subject, round);
		const peers = listPeers();
		const count = Math.min(peersPerRound, peers.length);
		try {
			for (let index = 0; index < count && isWanted(readClock()); index++) {
				const announcer =
					subject === 'configuration' && index === 0
						? follower.findAnnouncer()
						: undefined;
				const address =
					this.#choices[subject].choosePeer(peers, announcer, readClock()) ??
					'';
				// One peer is queried at a time.
				// eslint-disable-next-line no-await-in-loop
				const isDone = await this.#queryPeer(
					address,
					subject,
					readClock(),
					round.signal,
				);
				if (isDone) {
					return;
				}
			}
		} finally {
			this.#rounds.delete(subject);
		}
	}

	/** Queries one peer; returns whether no other one need be queried in this round. */
	async #queryPeer(
		address: string,
		subject: Subject,
		now: number,
		signal: AbortSignal,
	): Promise<boolean> {
		const spanMs =
			subject === 'configuration' ? this.#configurationSpanMs : answerSpanMs;
		const answer = await sendPeerQuery(
			address,
			this.#buildQuery(subject, now),
			{spanMs, signal, openSocket: this.options.openSocket},
		);
		if (answer.isOk()) {
			return this.#applyAnswer(address, answer.value, now);
		}

		if (signal.aborted) {
			return true;
		}

		if (answer.error.arrivedBytes === 0) {
			this.#choices[subject].recordSilence(address, this.options.readClock());
		}

		if (subject === 'configuration' && answer.error.isTooSlow) {
			this.#configurationSpanMs = Math.min(maxAnswerSpanMs, 2 * spanMs);
		}

		this.#logFailure(address, subject, answer.error);
		return false;
	}

	/** Builds a query whose answer has nothing but the subject; peers send only what is newer. */
	#buildQuery(subject: Subject, now: number): PeerQuery {
		const {follower, fleet} = this.options;
		return subject === 'configuration'
			? {
					version: follower.configurations.value?.version ?? -1,
					listAgeMs: 0,
					acceptsCompressed: true,
				}
			: {
					version: Number.MAX_SAFE_INTEGER,
					listAgeMs: Number.isFinite(fleet.readAt) ? now - fleet.readAt : null,
				};
	}

	/**
	 * Applies what is newer in an answer; returns whether anything is. Ages count
	 * from the query, as the answer may have been under way for long.
	 */
	#applyAnswer(
		address: string,
		{configuration, list}: PeerAnswer,
		sentAt: number,
	): boolean {
		const {follower, fleet, logger, readClock} = this.options;
		const version = follower.configurations.value?.version ?? -1;
		const hasNewerVersion =
			configuration !== undefined && configuration.version > version;
		if (hasNewerVersion) {
			logger.info('configuration.received', {
				from: address,
				version: configuration.version,
			});
			follower.acceptConfiguration(configuration);
		}

		const listReadAt = list && sentAt - list.ageMs;
		const hasNewerList = listReadAt !== undefined && listReadAt > fleet.readAt;
		if (list && hasNewerList) {
			logger.info('backends.received', {
				from: address,
				age_ms: Math.round(readClock() - listReadAt),
			});
			fleet.replaceByPeerList(list.backends, listReadAt, address);
		}

		return hasNewerVersion || hasNewerList;
	}

	/** Logs a failed query; one whose answer had begun has cost a part of the link. */
	#logFailure(
		address: string,
		subject: Subject,
		{detail, arrivedBytes}: PeerQueryFailure,
	): void {
		const {logger} = this.options;
		const fields = {address, subject, detail};
		if (arrivedBytes > 0) {
			logger.info('peer.unfinished', fields);
		} else {
			logger.debug('peer.unreachable', fields);
		}
	}
}
