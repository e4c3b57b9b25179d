/**
 * The gateways that this one knows. The store lists those that own partitions: a member
 * that has joined is missing until those before it have renewed or lapsed, and one that
 * the store turns away lapses although it runs. So a gateway that is no longer listed
 * stays known as long as it answers, and gateways tell each other whom they know.
 */
import type {CleanUp, LifeCycle, Logger} from 'bramleystage';
import {BehaviorSubject} from 'rxjs';

/** How often gateways that are not listed are checked, in milliseconds. */
const checkIntervalMs = 500;
/** Gateways that are checked at a time. */
const maxOpenChecks = 16;
/** Time since its last answer up to which a gateway need not be checked once it is no longer listed, in milliseconds. */
const recentMs = 1000;
/** Time without an answer after which a gateway that is not listed is checked again, in milliseconds for each known one: bounds the checks that all send together. */
const silencePerMemberMs = 250;
/** Checks in a row without an answer after which a gateway is dead. */
const maxFailedChecks = 2;
/** Time for which others can't make a dead gateway known again, in milliseconds: by then they have found it dead too. */
const deadMs = 5000;

/** How a gateway answers a check. */
export type MemberAnswer = 'serves' | 'stopping' | 'none';

type Member = {
	readonly isListed: boolean;
	/** Whether it is or was listed, or has answered; others have only told of it otherwise. */
	readonly isConfirmed: boolean;
	/** When it last answered; steady-clock time in milliseconds. */
	readonly heardAt: number;
	/** Whether it is to be checked at once. */
	readonly isDoubtful: boolean;
	readonly failedChecks: number;
};

const toldMember: Member = {
	isListed: false,
	isConfirmed: false,
	heardAt: Number.NEGATIVE_INFINITY,
	isDoubtful: true,
	failedChecks: 0,
};

export type KnownMembersOptions = {
	/** `host:port` at which other gateways reach this one. */
	readonly self: string;
	/** Addresses of gateways that are known without the store. */
	readonly seeds: readonly string[];
	readonly checkMember: (address: string) => Promise<MemberAnswer>;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class KnownMembers {
	/** Addresses of the other gateways that are or were listed, or have answered, sorted. */
	readonly confirmed = new BehaviorSubject<readonly string[]>([]);
	/** Addresses of these and of those that others have told of, sorted. */
	readonly counted = new BehaviorSubject<readonly string[]>([]);
	readonly #members = new Map<string, Member>();
	/** When each gateway was found dead; steady-clock time in milliseconds. */
	readonly #deadAt = new Map<string, number>();
	#peers: readonly string[];
	readonly #openChecks = new Set<string>();

	constructor(private readonly options: KnownMembersOptions) {
		this.#peers = this.#sortPeers();
	}

	/** Lists the addresses of the other gateways, sorted. */
	listPeers(): readonly string[] {
		return this.#peers;
	}

	/** Records the members that the store lists. */
	recordListed(listed: readonly string[], now: number): void {
		const listedSet = new Set(listed);
		for (const [address, member] of this.#members) {
			if (member.isListed && !listedSet.has(address)) {
				this.#members.set(address, {
					...member,
					isListed: false,
					isDoubtful: now - member.heardAt > recentMs,
				});
			}
		}

		for (const address of listedSet) {
			this.#deadAt.delete(address);
			this.#members.set(address, {
				heardAt: this.#members.get(address)?.heardAt ?? now,
				isListed: true,
				isConfirmed: true,
				isDoubtful: false,
				failedChecks: 0,
			});
		}

		this.#update();
	}

	/** Records the gateways that a peer knows. */
	recordTold(addresses: readonly string[], now: number): void {
		const added = addresses.filter((address) => {
			const deadAt = this.#deadAt.get(address);
			const isDead = deadAt !== undefined && now - deadAt < deadMs;
			return !isDead && !this.#members.has(address);
		});
		for (const address of added) {
			this.#deadAt.delete(address);
			this.#members.set(address, toldMember);
		}

		if (added.length > 0) {
			this.#update();
		}
	}

	/** Records that a gateway has sent something and does not stop. */
	recordContact(address: string, now: number): void {
		const member = this.#members.get(address);
		this.#members.set(address, {
			isListed: member?.isListed ?? false,
			isConfirmed: true,
			heardAt: now,
			isDoubtful: false,
			failedChecks: 0,
		});
		if (!member?.isConfirmed) {
			this.#deadAt.delete(address);
			this.#update();
		}
	}

	/** Starts checking gateways that are not listed. */
	registerChecks(lifeCycle: LifeCycle): CleanUp {
		return lifeCycle.registerInterval(checkIntervalMs, () => {
			for (const address of this.#selectUnchecked(this.options.readClock())) {
				void this.#check(address);
			}
		});
	}

	/** Selects the gateways to check, those first that were silent for longest. */
	#selectUnchecked(now: number): string[] {
		const silenceMs = silencePerMemberMs * this.#members.size;
		return [...this.#members]
			.filter(
				([address, {isListed, isDoubtful, heardAt}]) =>
					!isListed &&
					(isDoubtful || now - heardAt >= silenceMs) &&
					address !== this.options.self &&
					!this.#openChecks.has(address),
			)
			.toSorted(([, a], [, b]) => a.heardAt - b.heardAt)
			.slice(0, maxOpenChecks - this.#openChecks.size)
			.map(([address]) => address);
	}

	async #check(address: string): Promise<void> {
		const {checkMember, readClock} = this.options;
		this.#openChecks.add(address);
		const answer = await checkMember(address);
		this.#openChecks.delete(address);
		this.#recordAnswer(address, answer, readClock());
	}

	#recordAnswer(address: string, answer: MemberAnswer, now: number): void {
		if (answer === 'serves') {
			this.recordContact(address, now);
			return;
		}

		const member = this.#members.get(address);
		if (!member || member.isListed) {
			return;
		}

		const failedChecks = member.failedChecks + 1;
		if (answer === 'none' && failedChecks < maxFailedChecks) {
			this.#members.set(address, {...member, isDoubtful: true, failedChecks});
			return;
		}

		this.options.logger.info('group.memberGone', {address, answer});
		this.#members.delete(address);
		this.#deadAt.set(address, now);
		this.#update();
	}

	#update(): void {
		const {self} = this.options;
		const counted = [...this.#members.keys()]
			.filter((address) => address !== self)
			.toSorted();
		const confirmed = counted.filter(
			(address) => this.#members.get(address)?.isConfirmed,
		);
		this.#peers = this.#sortPeers();
		if (confirmed.join(',') !== this.confirmed.value.join(',')) {
			this.confirmed.next(confirmed);
		}

		if (counted.join(',') !== this.counted.value.join(',')) {
			this.counted.next(counted);
		}
	}

	#sortPeers(): string[] {
		const {self, seeds} = this.options;
		return [...new Set([...this.#members.keys(), ...seeds])]
			.filter((address) => address !== self)
			.toSorted();
	}
}
