/**
 * Enforces the limits of customers, models and services at this entry. Follows
 * the log's `limits` stream to learn which entries own each limit, exchanges
 * permits with the other entries, and acquires a permit for every limit that
 * applies to a request.
 */
import {
	createFailure,
	type CustomerId,
	type Failure,
	type HostId,
	type Incarnation,
	type LifeCycle,
	type Limit,
	LimitManager,
	type LimitKey,
	type LimitKind,
	limitKindSchema,
	type LimitRecord,
	type LimitSnapshot,
	type ListedHost,
	type Logger,
	type Milliseconds,
	type Permit,
	type PlatformClient,
	type RowKind,
	type TableView,
	toCustomerId,
	toLimitKey,
	toModelName,
	toServiceName,
	waitFor,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import type {EntryPeers} from './entry-peers.js';

export type EntryLimitsOptions = {
	readonly self: {readonly host: HostId; readonly incarnation: Incarnation};
	readonly platform: PlatformClient;
	readonly peers: EntryPeers;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readView: () => TableView;
	readonly readListedHosts: () => ReadonlyMap<HostId, ListedHost>;
	readonly readClock: () => number;
};

/** What the limits count of one request. */
export type LimitDemand = {
	readonly customer: CustomerId;
	readonly subject: {readonly kind: 'model' | 'service'; readonly name: string};
	/** Prompt tokens plus the maximum of answer tokens; 0 for a service call. */
	readonly tokens: number;
};

/** Releases the permits of one request. */
export type ReleasePermits = () => void;

/** Acquires the permits of a request. */
export type PermitSource = Pick<EntryLimits, 'acquire'>;

/** Limit values of one table row. */
type LimitCells = Readonly<Partial<Record<LimitKind, number | undefined>>>;

const limitStream = 'limits';
const tickIntervalMs = 50;
const longPollWaitMs = 10_000;
const readRetryDelayMs = 300;
const msPerSecond = 1000;
/** A member whose host has not been listed for this long is dropped. */
const delistedTimeoutMs = 3000;
/** Time after which all requests of a dropped member have ended. */
const droppedMemberGraceMs = 10_000;

export class EntryLimits {
	readonly #manager: LimitManager;
	readonly #delistedSince = new Map<Incarnation, number>();
	/** Whether a read without long polling is in progress. */
	#isImmediateReadRunning = false;

	constructor(private readonly options: EntryLimitsOptions) {
		const {self, peers, lifeCycle, readClock} = options;
		this.#manager = new LimitManager({
			self,
			readClock,
			send: (host, message) => peers.send(host, message),
			append: (record) => {
				void this.#append(record);
			},
			findLimit: (key) => findLimit(options.readView(), key),
		});
		const subscription = peers.messages.subscribe(({from, message}) => {
			if (message.type.startsWith('permit')) {
				this.#manager.receive(
					from,
					message as Parameters<LimitManager['receive']>[1],
				);
			}
		});
		lifeCycle.register(() => {
			subscription.unsubscribe();
		});
	}

	/** Whether the limits have owners; before that no work is admitted. */
	get isSettled(): boolean {
		return this.#manager.membership.isSettled;
	}

	/** Describes the limits' state for `/dump`. */
	describe(): object {
		return this.#manager.summary;
	}

	/** Starts following the log and takes part in the limits' membership. */
	start(): void {
		const {lifeCycle} = this.options;
		lifeCycle.registerInterval(tickIntervalMs, () => {
			this.#tick();
		});
		const abort = new AbortController();
		lifeCycle.register(() => {
			abort.abort();
		});
		void this.#followLog(abort.signal);
	}

	/**
	 * Acquires a permit for every limit of a request; if one is refused, releases
	 * the others.
	 */
	async acquire(demand: LimitDemand): Promise<Result<ReleasePermits, Failure>> {
		const permits: Permit[] = [];
		const release = () => {
			for (const permit of permits.splice(0)) {
				this.#manager.release(permit);
			}
		};

		for (const {limit, amount} of listRequiredPermits(
			this.options.readView(),
			demand,
		)) {
			// eslint-disable-next-line no-await-in-loop -- after a refusal the rest is not needed
			const permit = await this.#acquireOne(limit, amount);
			if (permit.isErr()) {
				release();
				return err(permit.error);
			}

			permits.push(permit.value);
		}

		return ok(release);
	}

	/** Ends this entry's ownership of limits, before a planned stop. */
	retire(): void {
		this.#manager.membership.retire();
	}

	async #acquireOne(
		limit: Limit,
		amount: number,
	): Promise<Result<Permit, Failure>> {
		return new Promise((resolve) => {
			this.#manager.acquire(limit, amount, (result) => {
				if (result.granted) {
					resolve(ok(result.permit));
					return;
				}

				resolve(err(this.#describeRefusal(limit, result.retryAfterMs)));
			});
		});
	}

	#describeRefusal({key, limit}: Limit, retryAfterMs: Milliseconds): Failure {
		return this.isSettled
			? createFailure(
					'limitReached',
					`The limit ${key} of ${limit} is reached.`,
					{retryAfterSeconds: Math.max(retryAfterMs / msPerSecond, 1)},
				)
			: createFailure(
					'limitsUnsettled',
					`No entry owns the limit ${key} yet.`,
					{retryAfterSeconds: 1},
				);
	}

	#tick(): void {
		this.#manager.tick();
		this.#dropDelistedMembers();
		if (this.#manager.membership.isStale && !this.#isImmediateReadRunning) {
			void this.#readLog(0);
		}
	}

	#dropDelistedMembers(): void {
		const listed = this.options.readListedHosts();
		const now = this.options.readClock();
		for (const member of this.#manager.membership.members) {
			const {host, incarnation} = member;
			if (listed.has(host) || host === this.options.self.host) {
				this.#delistedSince.delete(incarnation);
				continue;
			}

			const since = this.#delistedSince.get(incarnation) ?? now;
			this.#delistedSince.set(incarnation, since);
			if (now >= since + delistedTimeoutMs) {
				this.#delistedSince.delete(incarnation);
				this.#manager.membership.dropMember(member);
				this.options.lifeCycle.registerTimeout(droppedMemberGraceMs, () => {
					this.#manager.releaseIncarnation(incarnation);
				});
			}
		}
	}

	async #append(record: LimitRecord | LimitSnapshot): Promise<void> {
		const appended = await this.options.platform.append(limitStream, record);
		if (appended.isErr()) {
			const {detail} = appended.error;
			this.options.logger.debug('limits.append_failed', {detail});
		}
	}

	async #followLog(signal: AbortSignal): Promise<void> {
		/* eslint-disable no-await-in-loop -- each poll starts where the previous one ended */
		while (!signal.aborted) {
			const isRead = await this.#readLog(longPollWaitMs, signal);
			if (!isRead) {
				await waitFor(readRetryDelayMs);
			}
		}
		/* eslint-enable no-await-in-loop */
	}

	async #readLog(waitMs: number, signal?: AbortSignal): Promise<boolean> {
		const {platform, readClock, lifeCycle} = this.options;
		const {membership} = this.#manager;
		const sentAt = readClock();
		this.#isImmediateReadRunning ||= waitMs === 0;
		const {next} = membership.state;
		const readResult = await platform.readRecords(limitStream, next, waitMs, {
			signal,
		});
		this.#isImmediateReadRunning &&= waitMs !== 0;
		if (readResult.isErr() || lifeCycle.isStopped) {
			return false;
		}

		const {first, records} = readResult.value;
		membership.applyBatch(first, records, readClock());
		membership.recordLogRead(sentAt);
		return true;
	}
}

/** Finds the limit of a key such as `customer/gates/concurrent`. */
export function findLimit(view: TableView, key: LimitKey): Limit | undefined {
	const slash = key.indexOf('/');
	const lastSlash = key.lastIndexOf('/');
	const kind = limitKindSchema.safeParse(key.slice(lastSlash + 1));
	const name = key.slice(slash + 1, lastSlash);
	const cells = findCells(view, key.slice(0, slash) as RowKind, name);
	const limit = kind.success ? cells?.[kind.data] : undefined;
	return kind.success && limit !== undefined
		? {key, kind: kind.data, limit}
		: undefined;
}

function findCells(
	view: TableView,
	kind: RowKind,
	name: string,
): LimitCells | undefined {
	switch (kind) {
		case 'customer': {
			return view.customers.get(toCustomerId(name));
		}

		case 'service': {
			return view.services.get(toServiceName(name));
		}

		case 'model': {
			return view.models.get(toModelName(name));
		}
	}
}

function listRequiredPermits(
	view: TableView,
	{customer, subject, tokens}: LimitDemand,
): Array<{limit: Limit; amount: number}> {
	const rows = [`customer/${customer}`, `${subject.kind}/${subject.name}`];
	const limits = rows.flatMap((row) =>
		limitKindSchema.options
			.map((kind) => findLimit(view, toLimitKey(`${row}/${kind}`)))
			.filter((limit) => limit !== undefined),
	);
	return limits
		.map((limit) => ({
			limit,
			amount: limit.kind === 'tokens_per_second' ? tokens : 1,
		}))
		.filter(({amount}) => amount > 0);
}
