/**
 * Entries under virtual time with the real permit desks, a log that can be out,
 * and links that can be cut: what the `limits` bench and its test drive.
 */
import {
	createRandom,
	encodeFrame,
	type HostId,
	type Incarnation,
	type Limit,
	LimitManager,
	type LimitKey,
	type LimitRecord,
	type LimitSnapshot,
	type Message,
	type Permit,
	type PermitMessage,
	type Random,
	toHostId,
	toIncarnation,
	toLogOffset,
} from 'bramleystage';
import {VirtualTime} from './virtual-time.js';

const tickMs = 50;
const logPollMs = 100;
const logLatencyMs = 20;
const linkLatencyMs = 1;
const linkJitterMs = 2;
/** Time after its death at which an entry's requests have been cancelled. */
const cancelMs = 5000;
const goneGraceMs = 10_000;

export type WorldEntry = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
	readonly desk: LimitManager;
	isAlive: boolean;
	isPaused: boolean;
	isCutFromLog: boolean;
	/** What arrived or fell due while paused. */
	readonly delayed: Array<() => void>;
	/** Concurrent work that runs at the agents. */
	readonly works: Set<Work>;
};

type Work = {readonly limit: Limit; readonly permit: Permit};

/** What an auditor outside the system sees. */
export type Observer = {
	readonly recordRate: (limit: Limit, amount: number, at: number) => void;
	readonly recordHeld: (limit: Limit, change: 1 | -1, at: number) => void;
};

export class LimitWorld {
	readonly time = new VirtualTime();
	readonly random: Random;
	readonly entries: WorldEntry[] = [];
	isLogOut = false;
	messages = 0;
	bytes = 0;
	readonly #log: Array<LimitRecord | LimitSnapshot> = [];
	readonly #cuts = new Set<string>();
	#incarnations = 0;

	constructor(
		seed: number,
		private readonly limits: ReadonlyMap<LimitKey, Limit>,
		private readonly observer: Observer,
	) {
		this.random = createRandom(seed);
	}

	get liveEntries(): WorldEntry[] {
		return this.entries.filter(({isAlive}) => isAlive);
	}

	/** Starts an entry on a host; it joins the owners by itself. */
	startEntry(name: string): WorldEntry {
		this.#incarnations++;
		const self = {
			host: toHostId(name),
			incarnation: toIncarnation(`${name}-${this.#incarnations}`),
		};
		const desk: LimitManager = new LimitManager({
			self,
			readClock: () => this.time.now,
			send: (host, message) => this.#send(entry, host, message),
			append: (record) => {
				this.#append(entry, record);
			},
			findLimit: (key) => this.limits.get(key),
		});
		const entry: WorldEntry = {
			...self,
			desk,
			isAlive: true,
			isPaused: false,
			isCutFromLog: false,
			delayed: [],
			works: new Set(),
		};
		this.entries.push(entry);
		this.#repeat(entry, tickMs, () => {
			desk.tick();
		});
		this.#repeat(entry, logPollMs, () => {
			this.#poll(entry);
		});
		return entry;
	}

	/** Kills an entry; its requests end when the agents cancel them. */
	kill(entry: WorldEntry): void {
		entry.isAlive = false;
		this.time.schedule(cancelMs, () => {
			this.#endAll(entry);
		});
	}

	/** The platform no longer lists a host: its incarnation is dropped. */
	delist(gone: WorldEntry): void {
		for (const entry of this.liveEntries.filter((each) => !each.isPaused)) {
			const members = entry.desk.membership.members.filter(
				({incarnation}) => incarnation === gone.incarnation,
			);
			for (const member of members) {
				entry.desk.membership.dropMember(member);
			}

			this.time.schedule(goneGraceMs, () => {
				entry.desk.releaseIncarnation(gone.incarnation);
			});
		}
	}

	pause(entry: WorldEntry, durationMs: number): void {
		entry.isPaused = true;
		if (durationMs > cancelMs) {
			this.time.schedule(cancelMs, () => {
				this.#endAll(entry);
			});
		}

		this.time.schedule(durationMs, () => {
			entry.isPaused = false;
			for (const act of entry.delayed.splice(0)) {
				this.#deliver(entry, act);
			}
		});
	}

	/** Cuts the link between two hosts for a time, in milliseconds. */
	cut(a: HostId, b: HostId, durationMs: number): void {
		const names = [`${a}>${b}`, `${b}>${a}`];
		for (const name of names) {
			this.#cuts.add(name);
		}

		this.time.schedule(durationMs, () => {
			for (const name of names) {
				this.#cuts.delete(name);
			}
		});
	}

	/** One caller's request at an entry. */
	request(
		entry: WorldEntry,
		limit: Limit,
		amount: number,
		workMs: number,
	): void {
		this.#deliver(entry, () => {
			entry.desk.acquire(limit, amount, (result) => {
				if (result.granted) {
					this.#admit(entry, limit, amount, {workMs, permit: result.permit});
				}
			});
		});
	}

	#admit(
		entry: WorldEntry,
		limit: Limit,
		amount: number,
		{workMs, permit}: {workMs: number; permit: Permit},
	): void {
		if (limit.kind !== 'concurrent') {
			this.observer.recordRate(limit, amount, this.time.now);
			return;
		}

		const work: Work = {limit, permit};
		entry.works.add(work);
		this.observer.recordHeld(limit, 1, this.time.now);
		this.time.schedule(workMs, () => {
			this.#endWork(entry, work);
			this.#deliver(entry, () => {
				entry.desk.release(permit);
			});
		});
	}

	#endWork(entry: WorldEntry, work: Work): void {
		if (entry.works.delete(work)) {
			this.observer.recordHeld(work.limit, -1, this.time.now);
		}
	}

	/** The agents cancel the work of an entry that they no longer hear. */
	#endAll(entry: WorldEntry): void {
		for (const work of entry.works) {
			this.#endWork(entry, work);
		}
	}

	#deliver(entry: WorldEntry, act: () => void): void {
		if (!entry.isAlive) {
			return;
		}

		if (entry.isPaused) {
			entry.delayed.push(act);
		} else {
			act();
		}
	}

	#repeat(entry: WorldEntry, intervalMs: number, act: () => void): void {
		const run = () => {
			if (!entry.isAlive) {
				return;
			}

			if (!entry.isPaused) {
				act();
			}

			this.time.schedule(intervalMs, run);
		};

		this.time.schedule(this.random() * intervalMs, run);
	}

	#send(from: WorldEntry, host: HostId, message: PermitMessage): boolean {
		this.messages++;
		this.bytes += encodeFrame(message satisfies Message).length;
		const delay = linkLatencyMs + this.random() * linkJitterMs;
		const link = `${from.host}>${host}`;
		this.time.schedule(delay, () => {
			const to = this.liveEntries.findLast((each) => each.host === host);
			if (to && !this.#cuts.has(link)) {
				this.#deliver(to, () => {
					to.desk.receive(from, message);
				});
			}
		});
		return true;
	}

	#append(entry: WorldEntry, record: LimitRecord | LimitSnapshot): void {
		this.time.schedule(logLatencyMs, () => {
			if (!this.isLogOut && !entry.isCutFromLog) {
				this.#log.push(record);
			}
		});
	}

	#poll(entry: WorldEntry): void {
		const sentAt = this.time.now;
		this.time.schedule(logLatencyMs, () => {
			if (this.isLogOut || entry.isCutFromLog) {
				return;
			}

			const records = [...this.#log];
			this.#deliver(entry, () => {
				this.#applyRecords(entry, records, sentAt);
			});
		});
	}

	#applyRecords(
		{desk}: WorldEntry,
		records: ReadonlyArray<LimitRecord | LimitSnapshot>,
		sentAt: number,
	): void {
		const {membership} = desk;
		const {now} = this.time;
		const news = records
			.map((value, index) => ({offset: toLogOffset(index), value}))
			.slice(membership.state.next);
		membership.applyBatch(toLogOffset(0), news, now);
		membership.recordLogRead(sentAt);
	}
}
