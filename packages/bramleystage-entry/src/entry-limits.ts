/**
 * The entry's limits: follows the `limits` stream of the log, exchanges permits
 * with the other entries, and admits a request only with a permit for every
 * limit that its customer and its model or service have.
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
	readonly readListed: () => ReadonlyMap<HostId, ListedHost>;
	readonly readClock: () => number;
};

/** What one request takes of the limits. */
export type LimitedWork = {
	readonly customer: CustomerId;
	readonly subject: {readonly kind: 'model' | 'service'; readonly name: string};
	/** Prompt tokens and most answer tokens; 0 for a service call. */
	readonly tokens: number;
};

/** Ends the permits of one request. */
export type ReleasePermits = () => void;

/** Acquires the permits that requests need. */
export type AcquirePermits = Pick<EntryLimits, 'acquire'>;

type Cells = Readonly<Partial<Record<LimitKind, number | undefined>>>;

const stream = 'limits';
const tickMs = 50;
const longPollMs = 10_000;
const retryMs = 300;
const msPerSecond = 1000;
/** A member that the platform does not list for this long is dropped. */
const delistedMs = 3000;
/** Requests of a member that is gone have ended after this time. */
const goneGraceMs = 10_000;

export class EntryLimits {
	readonly #desk: LimitManager;
	readonly #delistedSince = new Map<Incarnation, number>();
	#isReading = false;

	constructor(private readonly options: EntryLimitsOptions) {
		const {self, peers, lifeCycle, readClock} = options;
		this.#desk = new LimitManager({
			self,
			readClock,
			send: (host, message) => peers.send(host, message),
			append: (record) => {
				void this.#append(record);
			},
			findLimit: (key) => findLimit(options.readView(), key),
		});
		const listening = peers.messages.subscribe(({from, message}) => {
			if (message.type.startsWith('permit')) {
				this.#desk.receive(
					from,
					message as Parameters<LimitManager['receive']>[1],
				);
			}
		});
		lifeCycle.register(() => {
			listening.unsubscribe();
		});
	}

	/** Whether the entries have agreed on their parts; before that no work is admitted. */
	get isSettled(): boolean {
		return this.#desk.membership.isSettled;
	}

	/** What the limits hold, for the state dump. */
	describe(): object {
		return this.#desk.summary;
	}

	/** Starts to follow the log and to take part. */
	start(): void {
		const {lifeCycle} = this.options;
		lifeCycle.registerInterval(tickMs, () => {
			this.#tick();
		});
		const abort = new AbortController();
		lifeCycle.register(() => {
			abort.abort();
		});
		void this.#follow(abort.signal);
	}

	/** Acquires a permit for every limit of a request, or none at all. */
	async acquire(work: LimitedWork): Promise<Result<ReleasePermits, Failure>> {
		const permits: Permit[] = [];
		const release = () => {
			for (const permit of permits.splice(0)) {
				this.#desk.release(permit);
			}
		};

		for (const {limit, amount} of listWorkLimits(
			this.options.readView(),
			work,
		)) {
			// eslint-disable-next-line no-await-in-loop -- a refusal spares the rest
			const permit = await this.#acquireOne(limit, amount);
			if (permit.isErr()) {
				release();
				return err(permit.error);
			}

			permits.push(permit.value);
		}

		return ok(release);
	}

	/** Gives up ownership, before a planned stop. */
	retire(): void {
		this.#desk.membership.retire();
	}

	async #acquireOne(
		limit: Limit,
		amount: number,
	): Promise<Result<Permit, Failure>> {
		return new Promise((resolve) => {
			this.#desk.acquire(limit, amount, (result) => {
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
		this.#desk.tick();
		this.#dropDelisted();
		if (this.#desk.membership.isStale && !this.#isReading) {
			void this.#read(0);
		}
	}

	#dropDelisted(): void {
		const listed = this.options.readListed();
		const now = this.options.readClock();
		for (const member of this.#desk.membership.members) {
			const {host, incarnation} = member;
			if (listed.has(host) || host === this.options.self.host) {
				this.#delistedSince.delete(incarnation);
				continue;
			}

			const since = this.#delistedSince.get(incarnation) ?? now;
			this.#delistedSince.set(incarnation, since);
			if (now >= since + delistedMs) {
				this.#delistedSince.delete(incarnation);
				this.#desk.membership.dropMember(member);
				this.options.lifeCycle.registerTimeout(goneGraceMs, () => {
					this.#desk.releaseIncarnation(incarnation);
				});
			}
		}
	}

	async #append(record: LimitRecord | LimitSnapshot): Promise<void> {
		const appended = await this.options.platform.append(stream, record);
		if (appended.isErr()) {
			const {detail} = appended.error;
			this.options.logger.debug('limits.append_failed', {detail});
		}
	}

	async #follow(signal: AbortSignal): Promise<void> {
		/* eslint-disable no-await-in-loop -- each poll starts where the last ended */
		while (!signal.aborted) {
			const isRead = await this.#read(longPollMs, signal);
			if (!isRead) {
				await waitFor(retryMs);
			}
		}
		/* eslint-enable no-await-in-loop */
	}

	async #read(waitMs: number, signal?: AbortSignal): Promise<boolean> {
		const {platform, readClock, lifeCycle} = this.options;
		const {membership} = this.#desk;
		const sentAt = readClock();
		this.#isReading ||= waitMs === 0;
		const {next} = membership.state;
		const batch = await platform.readRecords(stream, next, waitMs, {
			signal,
		});
		this.#isReading &&= waitMs !== 0;
		if (batch.isErr() || lifeCycle.isStopped) {
			return false;
		}

		const {first, records} = batch.value;
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
): Cells | undefined {
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

function listWorkLimits(
	view: TableView,
	{customer, subject, tokens}: LimitedWork,
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
