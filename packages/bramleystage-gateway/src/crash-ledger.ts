/**
 * What this gateway and its peers know of crashes: keeps the evidence, exchanges it
 * with peers, and logs when a trait of requests is to blame and when no longer.
 */
import {
	type Blame,
	computeAllowedEnds,
	computeStandings,
	type Crash,
	type CrashEvidence,
	createCrashEvidence,
	findBlame,
	findLastEnd,
	hasSuspectTrait,
	type InstanceKey,
	isProbeDue,
	type LifeCycle,
	type Logger,
	recordCitation,
	recordCrash,
	recordProbe,
	recordSound,
	removeOldCrashes,
	selectLastingEvidence,
	type RequestTrait,
	type RequestTraits,
	type Standings,
} from 'bramleystage';
import {auditTime, Subject} from 'rxjs';
import {computeHashPlace} from './request-traits.js';
import {BlameLog} from './blame-log.js';
import {buildCrashNews, type CrashNews, decodeCrash} from './crash-exchange.js';

/** Traits whose last sound answer is remembered, the most recent ones. */
const maxSoundTraits = 8192;
/** Time for which changes are gathered before peers get them, in milliseconds. */
const gatherMs = 100;
/** How often old evidence is dropped, in milliseconds. */
const cleanUpIntervalMs = 10_000;

/** Steady-clock times between which news were written, in milliseconds. */
export type NewsTimes = {
	readonly writtenAfter: number;
	readonly arrivedAt: number;
};

export type CrashLedgerOptions = {
	/** Returns the addresses of all known gateways. */
	readonly listMembers: () => readonly string[];
	/** Whether these are surely all. */
	readonly isGroupKnown: (now: number) => boolean;
	readonly self: string;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class CrashLedger {
	/** Fires when there are news for peers. */
	readonly news = new Subject<void>();
	readonly #changes = new Subject<void>();
	#evidence: CrashEvidence = createCrashEvidence();
	#standings: Standings = new Map();
	readonly #soundAt = new Map<RequestTrait, number>();
	readonly #blamed: BlameLog;
	#revision = 0;
	/** Revision of the last change of each entry; sound answers go by their trait. */
	readonly #revisions = new Map<unknown, number>();

	constructor(private readonly options: CrashLedgerOptions) {
		const {lifeCycle, logger, readClock} = options;
		this.#blamed = new BlameLog(logger);
		const subscription = this.#changes
			.pipe(auditTime(gatherMs))
			.subscribe(this.news);
		lifeCycle.register(() => {
			subscription.unsubscribe();
		});
		lifeCycle.registerInterval(cleanUpIntervalMs, () => {
			this.#replace(removeOldCrashes(this.#evidence, readClock()));
		});
	}

	/** Number of traits to blame. */
	get blamedCount(): number {
		return this.#blamed.count;
	}

	/** Number of traits whose last sound answer is remembered. */
	get soundCount(): number {
		return this.#soundAt.size;
	}

	/** Whether any crash is known. */
	get hasCrashes(): boolean {
		return this.#evidence.crashes.size > 0;
	}

	/** Whether a crash has any trait with this beginning as a suspect. */
	hasSuspects(prefix: string): boolean {
		return [...this.#standings.keys()].some((trait) =>
			trait.startsWith(prefix),
		);
	}

	/** Whether an instance is known to have ended under a request. */
	hasEnded(instance: InstanceKey): boolean {
		return this.#evidence.crashes.has(instance);
	}

	recordCrash(crash: Crash): void {
		this.#replace(this.#addSounds(recordCrash(this.#evidence, crash), crash));
	}

	/** Records that a request with the traits got a sound answer. */
	recordSound({shared, forms}: RequestTraits, now: number): void {
		for (const trait of shared) {
			this.#soundAt.delete(trait);
			this.#soundAt.set(trait, now);
		}

		// The least recently sound ones come first.
		for (const oldest of this.#soundAt.keys()) {
			if (this.#soundAt.size <= maxSoundTraits) {
				break;
			}

			this.#soundAt.delete(oldest);
		}

		let next = this.#evidence;
		for (const trait of [...shared, ...forms]) {
			const standing = this.#standings.get(trait);
			if (standing && (standing.ends > 0 || !standing.wasSound)) {
				next = recordSound(next, trait, now);
			}
		}

		this.#replace(next);
	}

	/** Whether a request with the trait got a sound answer, as far as is known. */
	isKnownSound(trait: RequestTrait): boolean {
		return this.#soundAt.has(trait) || this.#evidence.soundAt.has(trait);
	}

	/** Finds the trait for which a request is to be refused. */
	findBlame({shared, forms}: RequestTraits): Blame | undefined {
		return findBlame(this.#evidence, this.#standings, [
			...shared,
			...forms.toReversed(),
		]);
	}

	/** Finds when a server last ended under a form of a request that had no sound answer since; a steady-clock time in milliseconds. */
	findLastFormEnd({forms}: RequestTraits): number {
		return findLastEnd(this.#standings, forms);
	}

	/** Whether other requests with a trait of this one may have ended a server. */
	hasSuspectTrait(traits: RequestTraits): boolean {
		return hasSuspectTrait(this.#standings, traits);
	}

	/** Computes how many servers may end under a request before it is repeated no more. */
	computeAllowedEnds(traits: RequestTraits): number {
		return computeAllowedEnds(this.#standings, traits);
	}

	/** Records that a request was refused for a trait. */
	recordRefusal({trait}: Blame, now: number): void {
		this.#replace(recordCitation(this.#evidence, trait, now));
	}

	/** Takes the right to let one request through although a trait is to blame; returns false if it is not due here. */
	tryProbe(blame: Blame, now: number): boolean {
		const {self, listMembers, isGroupKnown, logger} = this.options;
		// A gateway that knows a part of the others would take the turn of another one.
		if (!isGroupKnown(now)) {
			return false;
		}

		const place = {
			members: listMembers(),
			self,
			computePlace: computeHashPlace,
		};
		if (!isProbeDue(blame, this.#evidence, place, now)) {
			return false;
		}

		const {trait} = blame;
		const count = (this.#evidence.probes.get(trait)?.count ?? 0) + 1;
		logger.warn('trait.probed', {trait, count});
		this.#replace(recordProbe(this.#evidence, trait, {count, at: now}));
		return true;
	}

	/** Builds what has changed after a revision; undefined if nothing has. */
	buildNews(
		since: number,
		now: number,
	): {readonly news?: CrashNews; readonly revision: number} {
		const news =
			this.#revision === since
				? undefined
				: buildCrashNews(
						this.#evidence,
						(entry) => (this.#revisions.get(entry) ?? 0) > since,
						now,
					);
		return {news, revision: this.#revision};
	}

	/** Builds what gateways that start later need to know: ends that speak against a trait again or blame it. */
	buildLastingNews(now: number): CrashNews | undefined {
		const lasting = selectLastingEvidence(this.#evidence, this.#standings);
		return buildCrashNews(lasting, () => true, now);
	}

	/**
	 * Merges news of a peer. When they were written is known only roughly, so crashes
	 * and probes count as late as they can have been, and sound answers as early.
	 */
	acceptNews(
		{crashes, sounds, probes}: CrashNews,
		{writtenAfter, arrivedAt}: NewsTimes,
	): void {
		let next = this.#evidence;
		for (const encoded of crashes) {
			const crash = decodeCrash(encoded, arrivedAt);
			next = this.#addSounds(recordCrash(next, crash), crash);
		}

		const suspects = new Set(
			[...next.crashes.values()].flatMap((crash) => [...crash.suspects.keys()]),
		);
		for (const {trait, ageMs} of sounds) {
			if (suspects.has(trait)) {
				next = recordSound(next, trait, writtenAfter - ageMs);
			}
		}

		for (const {trait, count, ageMs} of probes) {
			if (suspects.has(trait)) {
				next = recordProbe(next, trait, {count, at: arrivedAt - ageMs});
			}
		}

		this.#replace(next);
	}

	/** Adds the sound answers that this gateway remembers for the suspects of a crash. */
	#addSounds(evidence: CrashEvidence, {suspects}: Crash): CrashEvidence {
		let next = evidence;
		for (const trait of suspects.keys()) {
			const at = this.#soundAt.get(trait);
			next = at === undefined ? next : recordSound(next, trait, at);
		}

		return next;
	}

	#replace(next: CrashEvidence): void {
		const previous = this.#evidence;
		if (next === previous) {
			return;
		}

		this.#evidence = next;
		this.#standings = computeStandings(next);
		this.#recordRevisions(previous);
		this.#blamed.update(next, this.#standings, this.options.readClock());
		this.#changes.next();
	}

	#recordRevisions(previous: CrashEvidence): void {
		const {crashes, soundAt, probes} = this.#evidence;
		this.#revision++;
		const known = new Map(this.#revisions);
		this.#revisions.clear();
		const keep = (entry: unknown, isChanged: boolean) => {
			const revision = isChanged ? undefined : known.get(entry);
			this.#revisions.set(entry, revision ?? this.#revision);
		};

		for (const [instance, crash] of crashes) {
			keep(crash, previous.crashes.get(instance) !== crash);
		}

		for (const [trait, at] of soundAt) {
			keep(trait, previous.soundAt.get(trait) !== at);
		}

		for (const [trait, probe] of probes) {
			keep(probe, previous.probes.get(trait) !== probe);
		}
	}
}
