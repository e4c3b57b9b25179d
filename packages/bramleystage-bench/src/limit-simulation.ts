/**
 * Simulates entries in virtual time for the `limits` bench and its test. The
 * entries use the production limit manager; the log can be unavailable, and
 * links between hosts can be partitioned.
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
import {VirtualClock} from 'bramleystage-stand-ins';

const tickMs = 50;
const logPollMs = 100;
const logLatencyMs = 20;
const linkLatencyMs = 1;
const linkJitterMs = 2;
/** Time after which agents have cancelled the work of an entry that died or paused. */
const agentCancelMs = 5000;
/** Time after the removal of a host at which its permits are released. */
const incarnationReleaseMs = 10_000;

export type SimulatedEntry = {
	readonly host: HostId;
	readonly incarnation: Incarnation;
	readonly limitManager: LimitManager;
	isAlive: boolean;
	isPaused: boolean;
	isPartitionedFromLog: boolean;
	/** Messages, log reads, requests and releases that came due during a pause. */
	readonly deferredActions: Array<() => void>;
	/** Work under concurrent limits that runs on the agents. */
	readonly runningWork: Set<ConcurrentWork>;
};

type ConcurrentWork = {readonly limit: Limit; readonly permit: Permit};

/** Receives every use of a limit, as seen from outside the entries. */
export type LimitObserver = {
	readonly recordRateUse: (limit: Limit, amount: number, at: number) => void;
	readonly recordConcurrencyChange: (
		limit: Limit,
		change: 1 | -1,
		at: number,
	) => void;
};

export class LimitSimulation {
	readonly time = new VirtualClock();
	readonly random: Random;
	readonly entries: SimulatedEntry[] = [];
	isLogUnavailable = false;
	messagesSent = 0;
	bytesSent = 0;
	readonly #log: Array<LimitRecord | LimitSnapshot> = [];
	readonly #partitionedLinks = new Set<string>();
	#incarnationCount = 0;

	constructor(
		seed: number,
		private readonly limits: ReadonlyMap<LimitKey, Limit>,
		private readonly observer: LimitObserver,
	) {
		this.random = createRandom(seed);
	}

	get liveEntries(): SimulatedEntry[] {
		return this.entries.filter(({isAlive}) => isAlive);
	}

	/** Starts an entry on a host. The entry itself joins the owners of limits. */
	startEntry(name: string): SimulatedEntry {
		this.#incarnationCount++;
		const self = {
			host: toHostId(name),
			incarnation: toIncarnation(`${name}-${this.#incarnationCount}`),
		};
		const limitManager: LimitManager = new LimitManager({
			self,
			readClock: () => this.time.now,
			send: (host, message) => this.#send(entry, host, message),
			append: (record) => {
				this.#append(entry, record);
			},
			findLimit: (key) => this.limits.get(key),
		});
		const entry: SimulatedEntry = {
			...self,
			limitManager,
			isAlive: true,
			isPaused: false,
			isPartitionedFromLog: false,
			deferredActions: [],
			runningWork: new Set(),
		};
		this.entries.push(entry);
		this.#runPeriodically(entry, tickMs, () => {
			limitManager.tick();
		});
		this.#runPeriodically(entry, logPollMs, () => {
			this.#poll(entry);
		});
		return entry;
	}

	/** Kills an entry. Its running work ends when the agents cancel it. */
	kill(entry: SimulatedEntry): void {
		entry.isAlive = false;
		this.time.schedule(agentCancelMs, () => {
			this.#endAllWork(entry);
		});
	}

	/**
	 * Removes the host of an entry from the host list of the platform. Live entries
	 * that are not paused drop its incarnation as an owner at once, and release the
	 * permits that it holds after `incarnationReleaseMs`.
	 */
	removeFromHostList(removed: SimulatedEntry): void {
		for (const entry of this.liveEntries.filter((each) => !each.isPaused)) {
			const members = entry.limitManager.membership.members.filter(
				({incarnation}) => incarnation === removed.incarnation,
			);
			for (const member of members) {
				entry.limitManager.membership.dropMember(member);
			}

			this.time.schedule(incarnationReleaseMs, () => {
				entry.limitManager.releaseIncarnation(removed.incarnation);
			});
		}
	}

	/** Pauses an entry for a duration. Agents cancel its work if the pause is long. */
	pause(entry: SimulatedEntry, durationMs: number): void {
		entry.isPaused = true;
		if (durationMs > agentCancelMs) {
			this.time.schedule(agentCancelMs, () => {
				this.#endAllWork(entry);
			});
		}

		this.time.schedule(durationMs, () => {
			entry.isPaused = false;
			for (const action of entry.deferredActions.splice(0)) {
				this.#deliver(entry, action);
			}
		});
	}

	/** Partitions two hosts from each other for `durationMs`. */
	partition(a: HostId, b: HostId, durationMs: number): void {
		const names = [`${a}>${b}`, `${b}>${a}`];
		for (const name of names) {
			this.#partitionedLinks.add(name);
		}

		this.time.schedule(durationMs, () => {
			for (const name of names) {
				this.#partitionedLinks.delete(name);
			}
		});
	}

	/** Sends one request of a caller to an entry. */
	request(
		entry: SimulatedEntry,
		limit: Limit,
		amount: number,
		workMs: number,
	): void {
		this.#deliver(entry, () => {
			entry.limitManager.acquire(limit, amount, (result) => {
				if (result.granted) {
					this.#admit(entry, limit, amount, {workMs, permit: result.permit});
				}
			});
		});
	}

	#admit(
		entry: SimulatedEntry,
		limit: Limit,
		amount: number,
		{workMs, permit}: {workMs: number; permit: Permit},
	): void {
		if (limit.kind !== 'concurrent') {
			this.observer.recordRateUse(limit, amount, this.time.now);
			return;
		}

		const work: ConcurrentWork = {limit, permit};
		entry.runningWork.add(work);
		this.observer.recordConcurrencyChange(limit, 1, this.time.now);
		this.time.schedule(workMs, () => {
			this.#endWork(entry, work);
			this.#deliver(entry, () => {
				entry.limitManager.release(permit);
			});
		});
	}

	#endWork(entry: SimulatedEntry, work: ConcurrentWork): void {
		if (entry.runningWork.delete(work)) {
			this.observer.recordConcurrencyChange(work.limit, -1, this.time.now);
		}
	}

	/** Ends the work of an entry, as agents do when they receive nothing from it. */
	#endAllWork(entry: SimulatedEntry): void {
		for (const work of entry.runningWork) {
			this.#endWork(entry, work);
		}
	}

	#deliver(entry: SimulatedEntry, action: () => void): void {
		if (!entry.isAlive) {
			return;
		}

		if (entry.isPaused) {
			entry.deferredActions.push(action);
		} else {
			action();
		}
	}

	#runPeriodically(
		entry: SimulatedEntry,
		intervalMs: number,
		action: () => void,
	): void {
		const run = () => {
			if (!entry.isAlive) {
				return;
			}

			if (!entry.isPaused) {
				action();
			}

			this.time.schedule(intervalMs, run);
		};

		this.time.schedule(this.random() * intervalMs, run);
	}

	#send(from: SimulatedEntry, host: HostId, message: PermitMessage): boolean {
		this.messagesSent++;
		this.bytesSent += encodeFrame(message satisfies Message).length;
		const delay = linkLatencyMs + this.random() * linkJitterMs;
		const link = `${from.host}>${host}`;
		this.time.schedule(delay, () => {
			const to = this.liveEntries.findLast((each) => each.host === host);
			if (to && !this.#partitionedLinks.has(link)) {
				this.#deliver(to, () => {
					to.limitManager.receive(from, message);
				});
			}
		});
		return true;
	}

	#append(entry: SimulatedEntry, record: LimitRecord | LimitSnapshot): void {
		this.time.schedule(logLatencyMs, () => {
			if (!this.isLogUnavailable && !entry.isPartitionedFromLog) {
				this.#log.push(record);
			}
		});
	}

	#poll(entry: SimulatedEntry): void {
		const sentAt = this.time.now;
		this.time.schedule(logLatencyMs, () => {
			if (this.isLogUnavailable || entry.isPartitionedFromLog) {
				return;
			}

			const records = [...this.#log];
			this.#deliver(entry, () => {
				this.#applyRecords(entry, records, sentAt);
			});
		});
	}

	#applyRecords(
		{limitManager}: SimulatedEntry,
		records: ReadonlyArray<LimitRecord | LimitSnapshot>,
		sentAt: number,
	): void {
		const {membership} = limitManager;
		const {now} = this.time;
		const newRecords = records
			.map((value, index) => ({offset: toLogOffset(index), value}))
			.slice(membership.state.next);
		membership.applyBatch(toLogOffset(0), newRecords, now);
		membership.recordLogRead(sentAt);
	}
}
