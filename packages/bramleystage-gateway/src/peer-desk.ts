/**
 * Keeps the gateway informed by its peers while it can't read the platform's
 * store itself: right after a start during an outage, or when the store serves
 * others but not this host.
 */
import type {LifeCycle, Logger} from 'bramleystage';
import type {ConfigurationFollower} from './configuration-follower.js';
import type {Fleet} from './fleet.js';
import {
	sendQuestion,
	type PeerAnswer,
	type PeerQuestion,
} from './peer-exchange.js';
import type {Knowledge} from './peer-news.js';

/** How often peers are asked while the store does not answer, in milliseconds. */
const askMs = 250;
/** Peers asked at a time. */
const askedAtOnce = 2;
/** Age of what was read last at which peers are asked, in milliseconds: two reads are missing by then. */
const staleMs = 1500;

export type PeerDeskOptions = {
	readonly follower: ConfigurationFollower;
	readonly fleet: Fleet;
	/** Addresses of other gateways, as far as known. */
	readonly listPeers: () => readonly string[];
	readonly isStopping: () => boolean;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class PeerDesk {
	#turn = 0;

	constructor(private readonly options: PeerDeskOptions) {
		options.lifeCycle.registerInterval(askMs, () => {
			void this.#ask(options.readClock());
		});
	}

	/** Answers a peer with what is newer here. */
	answer(question: PeerQuestion): PeerAnswer {
		const {follower, fleet, readClock} = this.options;
		const configuration = follower.configurations.value;
		const ageMs = readClock() - fleet.readAt;
		const isFresher =
			fleet.isListed &&
			(question.listAgeMs === null || ageMs < question.listAgeMs);
		return {
			listAgeMs: fleet.isListed ? ageMs : null,
			isStopping: this.options.isStopping(),
			...(configuration &&
				configuration.version > question.version && {configuration}),
			...(isFresher && {
				list: {backends: [...fleet.snapshots.value.backends.values()], ageMs},
			}),
		};
	}

	/** Takes what a followed peer has told. */
	acceptNews({version, configurationReadAt, listReadAt, backends}: Knowledge) {
		const {follower, fleet} = this.options;
		follower.acceptVersion(version, configurationReadAt);
		if (listReadAt > fleet.readAt) {
			fleet.replace([...backends.values()], listReadAt);
		}
	}

	async #ask(now: number): Promise<void> {
		const {follower, fleet, listPeers} = this.options;
		const isFresh =
			!follower.isCutOff() &&
			now - follower.readAt() < staleMs &&
			now - fleet.readAt < staleMs;
		const peers = listPeers();
		if (isFresh || peers.length === 0) {
			return;
		}

		const question = {
			version: follower.configurations.value?.version ?? -1,
			listAgeMs: Number.isFinite(fleet.readAt) ? now - fleet.readAt : null,
		};
		this.#turn++;
		const count = Math.min(askedAtOnce, peers.length);
		const asked = Array.from(
			{length: count},
			(_, index) => peers[(this.#turn * count + index) % peers.length] ?? '',
		);
		await Promise.all(
			asked.map(async (address) => {
				const answer = await sendQuestion(address, question);
				if (answer.isOk()) {
					this.#take(address, answer.value);
				} else {
					this.options.logger.debug('peer.unreachable', {
						address,
						detail: answer.error.detail,
					});
				}
			}),
		);
	}

	#take(address: string, {configuration, list}: PeerAnswer): void {
		const {follower, fleet, logger, readClock} = this.options;
		if (configuration) {
			logger.info('configuration.received', {
				from: address,
				version: configuration.version,
			});
			follower.offer(configuration);
		}

		if (list && readClock() - list.ageMs > fleet.readAt) {
			logger.info('backends.received', {
				from: address,
				age_ms: Math.round(list.ageMs),
			});
			fleet.replace(list.backends, readClock() - list.ageMs);
		}
	}
}
