/**
 * Claims idempotency keys for the calls of one agent. It appends claims to the
 * log in batches with limited frequency, retries an append that failed, and
 * reports the result of a claim once the order of the log determines which
 * claim owns the key.
 */
import {createHash} from 'node:crypto';
import {
	type Call,
	type CallEvent,
	type Claim,
	ClaimRegistry,
	type ClaimEnd,
	type ClaimRecord,
	claimRecordSchema,
	claimStream,
	createFailure,
	decideClaim,
	formatClaimKey,
	isSameClaim,
	idempotencyKeyLifetimeMs,
	type LifeCycle,
	type LogRecords,
	type PlatformClient,
	type RequestId,
	type DispatchTarget,
	toLogOffset,
} from 'bramleystage';
import {ClaimEndStore} from './claim-end-store.js';

/**
 * Interval between appends, in milliseconds. It keeps several agents within the
 * append rate of the log.
 */
const appendIntervalMs = 20;
const appendRetryDelayMs = 200;
/** Time after which a claim that is not in the log is refused, in milliseconds. */
const claimTimeoutMs = 3000;
/** Maximum number of claims, and of releases, in one record. */
const maxClaimsPerRecord = 500;
/**
 * Maximum number of queued releases. A release beyond it is dropped; its key is
 * then refused until it expires.
 */
const maxPendingReleases = 10_000;

type PendingClaim = {
	readonly call: Call;
	readonly claim: Claim;
	readonly refuseAt: number;
	/** The claim is in an append that is running or has succeeded. */
	isSubmitted: boolean;
	/** An append was attempted; it may have taken effect even if it failed. */
	mayBeInLog: boolean;
};

export type ClaimManagerOptions = {
	readonly platform: PlatformClient;
	readonly lifeCycle: LifeCycle;
	readonly self: DispatchTarget;
	/** Sends the result of a claim to the call ledger. */
	readonly handle: (request: RequestId, event: CallEvent) => void;
	readonly readClock: () => number;
};

export class ClaimManager {
	readonly #registry = new ClaimRegistry();
	readonly #pending = new Map<string, PendingClaim>();
	readonly #recordedEnds = new ClaimEndStore();
	#pendingReleases: Claim[] = [];
	#nextAppendAt = 0;
	#isAppending = false;
	#nextOffset = 0;
	#registryIncompleteUntil = 0;

	constructor(private readonly options: ClaimManagerOptions) {
		const {lifeCycle, platform} = options;
		const subscription = platform
			.followRecords(claimStream, toLogOffset(0))
			.subscribe((event) => {
				if (event.type === 'records') {
					this.#applyRecords(event.batch);
				}
			});
		lifeCycle.register(() => {
			subscription.unsubscribe();
		});
		lifeCycle.registerInterval(appendIntervalMs, () => {
			this.#refuseOverdue();
			void this.#appendPending();
		});
	}

	/** Number of claims without a result. */
	get pending(): number {
		return this.#pending.size;
	}

	/** Number of keys that have an owner. */
	get ownedKeyCount(): number {
		return this.#registry.size;
	}

	/** Claims the key of a call; the result is sent to `handle`. */
	claim(call: Call): void {
		const now = this.options.readClock();
		const claim = this.#createClaim(call);
		const {key} = claim;
		const owner =
			this.#registry.findOwner(key, now) ?? this.#pending.get(key)?.claim;
		if (owner) {
			this.#reportResult(call, claim, owner);
			return;
		}

		if (this.#registry.isFull || now < this.#registryIncompleteUntil) {
			this.#refuse(call, 'The owners of some idempotency keys are unknown.');
			return;
		}

		const refuseAt = now + Math.min(claimTimeoutMs, call.deadlineMs);
		this.#pending.set(key, {
			call,
			claim,
			refuseAt,
			isSubmitted: false,
			mayBeInLog: false,
		});
	}

	/** Releases the claim of a call that did not run. */
	release(call: Call): void {
		const claim = this.#createClaim(call);
		if (isSameClaim(this.#pending.get(claim.key)?.claim, claim)) {
			this.#pending.delete(claim.key);
		}

		this.#queueRelease(claim);
	}

	/** Records the result of a claimed call, for duplicates of it. */
	recordEnd(call: Call, end: ClaimEnd): void {
		this.#recordedEnds.record(formatClaimKey(call), end);
	}

	sweep(now: number): void {
		this.#registry.sweep(now);
		this.#recordedEnds.sweep(
			(key) => this.#registry.findOwner(key, now) !== undefined,
		);
	}

	#queueRelease(claim: Claim): void {
		if (this.#pendingReleases.length < maxPendingReleases) {
			this.#pendingReleases.push(claim);
		}
	}

	#createClaim(call: Call): Claim {
		const {host, incarnation} = this.options.self;
		return {
			key: formatClaimKey(call),
			request: call.request,
			host,
			incarnation,
			digest: createHash('sha256')
				.update(JSON.stringify([call.method, call.path]))
				.update(call.body)
				.digest('base64url'),
		};
	}

	#applyRecords({first, next, records}: LogRecords): void {
		const now = this.options.readClock();
		if (this.#nextOffset > 0 && first > this.#nextOffset) {
			// Records expired before they were read, so any key may have an owner that is unknown here.
			this.#registryIncompleteUntil = now + idempotencyKeyLifetimeMs;
		}

		this.#nextOffset = next;
		for (const {value} of records) {
			const record = claimRecordSchema.safeParse(value);
			if (record.success) {
				this.#registry.fold(record.data, now);
			}
		}

		for (const [key, {call, claim}] of this.#pending) {
			const owner = this.#registry.findOwner(key, now);
			if (owner) {
				this.#pending.delete(key);
				this.#reportResult(call, claim, owner);
			}
		}
	}

	#reportResult(call: Call, claim: Claim, owner: Claim): void {
		const {handle} = this.options;
		const claimResult = decideClaim(
			claim,
			owner,
			this.#recordedEnds.findEnd(claim.key),
		);
		switch (claimResult.type) {
			case 'claimed': {
				handle(call.request, {type: 'claimed', call});
				break;
			}

			case 'repeated': {
				handle(call.request, {
					type: 'claimAnswered',
					answer: claimResult.answer,
				});
				break;
			}

			case 'refused': {
				const {failure} = claimResult;
				handle(call.request, {type: 'claimRefused', failure});
				break;
			}
		}
	}

	#refuse(call: Call, detail: string): void {
		const failure = createFailure('claimUnavailable', detail);
		this.options.handle(call.request, {type: 'claimRefused', failure});
	}

	#refuseOverdue(): void {
		const now = this.options.readClock();
		for (const [key, {call, claim, refuseAt, mayBeInLog}] of this.#pending) {
			if (refuseAt <= now) {
				this.#pending.delete(key);
				if (mayBeInLog) {
					this.#queueRelease(claim);
				}

				this.#refuse(call, 'The claim was not committed to the log in time.');
			}
		}
	}

	async #appendPending(): Promise<void> {
		const {platform, readClock} = this.options;
		const unsubmitted = [...this.#pending.values()]
			.filter(({isSubmitted}) => !isSubmitted)
			.slice(0, maxClaimsPerRecord);
		const released = this.#pendingReleases.slice(0, maxClaimsPerRecord);
		const isIdle = unsubmitted.length + released.length === 0;
		if (isIdle || this.#isAppending || readClock() < this.#nextAppendAt) {
			return;
		}

		for (const pendingClaim of unsubmitted) {
			pendingClaim.isSubmitted = true;
			pendingClaim.mayBeInLog = true;
		}

		this.#isAppending = true;
		const claims = unsubmitted.map(({claim}) => claim);
		const record: ClaimRecord = {kind: 'claims', format: 1, claims, released};
		const appended = await platform.append(claimStream, record);
		this.#isAppending = false;
		if (appended.isOk()) {
			this.#pendingReleases = this.#pendingReleases.filter(
				(claim) => !released.includes(claim),
			);
			return;
		}

		// The append may have taken effect; a second append of a claim is idempotent.
		this.#nextAppendAt = readClock() + appendRetryDelayMs;
		for (const pendingClaim of unsubmitted) {
			pendingClaim.isSubmitted = false;
		}
	}
}
