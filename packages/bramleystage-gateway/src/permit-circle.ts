/**
 * Which gateway gives the turns at a server that names a limit: the first that answers
 * in an order that all gateways compute alike (rendezvous hashing). A gateway that is
 * asked although another one is before it gives turns only if that one doesn't answer
 * it either, so that two gateways never give the same server's turns for long.
 */
import {
	type InstanceKey,
	type LifeCycle,
	type Logger,
	selectByScore,
} from 'bramleystage';
import {PermitLink} from './permit-link.js';
import {computeHashPlace} from './request-traits.js';

/** Pause before a gateway that did not answer is checked again, in milliseconds; it is asked for turns only after it has answered. */
const silentCheckMs = 500;
/** Time for which an answer shows that a gateway runs, in milliseconds. */
const aliveMs = 300;
/** Gateways that are tried for one request. */
const maxTriedOwners = 4;

export type PermitCircleOptions = {
	/** `host:port` at which other gateways reach this one. */
	readonly self: string;
	/** Returns the addresses of the other gateways. */
	readonly listPeers: () => readonly string[];
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
};

export class PermitCircle {
	readonly #links = new Map<string, PermitLink>();
	/** Gateways that did not answer, until they answer a check. */
	readonly #silent = new Set<string>();
	/** Steady-clock time at which each gateway last answered, in milliseconds. */
	readonly #answeredAt = new Map<string, number>();
	#members: readonly string[] = [];
	/** Order of the members for each instance. */
	readonly #orders = new Map<InstanceKey, readonly string[]>();

	constructor(private readonly options: PermitCircleOptions) {
		options.lifeCycle.register(() => {
			for (const link of this.#links.values()) {
				link.close();
			}
		});
	}

	/** Lists the gateways to ask for turns at an instance, in order. */
	listOwners(instance: InstanceKey): readonly string[] {
		return this.#listOrder(instance)
			.filter((address) => !this.#silent.has(address))
			.slice(0, maxTriedOwners);
	}

	/** Whether this gateway gives the turns at an instance, as far as it knows. */
	isOwner(instance: InstanceKey): boolean {
		return this.listOwners(instance)[0] === this.options.self;
	}

	/** Finds out whether this gateway gives the turns at an instance. */
	async checkOwner(instance: InstanceKey): Promise<boolean> {
		const {self, readClock} = this.options;
		for (const address of this.listOwners(instance)) {
			if (address === self) {
				return true;
			}

			const answeredAt = this.#answeredAt.get(address);
			if (answeredAt !== undefined && readClock() - answeredAt < aliveMs) {
				return false;
			}

			// The next one counts only if this one doesn't answer.
			// eslint-disable-next-line no-await-in-loop
			if (await this.findLink(address).check()) {
				this.#answeredAt.set(address, readClock());
				return false;
			}
		}

		return false;
	}

	/** Finds or opens the connection to a gateway. */
	findLink(address: string): PermitLink {
		const known = this.#links.get(address);
		if (known) {
			return known;
		}

		const {readClock, readLinkDelayMs, logger} = this.options;
		const link: PermitLink = new PermitLink({
			address,
			logger,
			readClock,
			readLinkDelayMs,
			onEnd: (isSilent) => {
				if (this.#links.get(address) === link) {
					this.#links.delete(address);
				}

				if (isSilent && !this.#silent.has(address)) {
					logger.info('permits.ownerLost', {address});
					this.#silent.add(address);
					this.#awaitAnswer(address);
				}
			},
		});
		this.#links.set(address, link);
		return link;
	}

	/** Checks a silent gateway until it answers or is a member no more. */
	#awaitAnswer(address: string): void {
		const {lifeCycle, listPeers, logger} = this.options;
		lifeCycle.registerTimeout(silentCheckMs, () => {
			void (async () => {
				const hasAnswered =
					listPeers().includes(address) &&
					(await this.findLink(address).check());
				if (hasAnswered || !listPeers().includes(address)) {
					this.#silent.delete(address);
					logger.info('permits.ownerBack', {address, answers: hasAnswered});
				} else {
					this.#awaitAnswer(address);
				}
			})();
		});
	}

	#listOrder(instance: InstanceKey): readonly string[] {
		const {self, listPeers} = this.options;
		const members = [self, ...listPeers()].toSorted();
		if (members.join(',') !== this.#members.join(',')) {
			this.#members = members;
			this.#orders.clear();
		}

		const known = this.#orders.get(instance);
		if (known) {
			return known;
		}

		const order = selectByScore(
			instance,
			members,
			members.length,
			computeHashPlace,
		);
		this.#orders.set(instance, order);
		return order;
	}
}
