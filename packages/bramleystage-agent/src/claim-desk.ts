/**
 * Claims idempotency keys for the calls of one agent: gathers claims into
 * batches, paces the appends, appends again when an answer was lost, and
 * settles each claim when the log's order shows who owns its key.
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
import {ClaimEnds} from './claim-ends.js';

/** Time between two appends, so that a few agents stay within what the log takes. */
const appendIntervalMs = 20;
const retryIntervalMs = 200;
/** Longest wait for the log before a claim is given up, in milliseconds. */
const claimWaitMs = 3000;
/** Claims of one record. */
const maxBatch = 500;
/** Releases that wait for the log; a key that is not released is only refused longer. */
const maxReleases = 10_000;

type Pending = {
	readonly call: Call;
	readonly claim: Claim;
	readonly giveUpAt: number;
	isAppended: boolean;
	/** An append of it was tried, so it may stand in the log. */
	wasTried: boolean;
};

export type ClaimDeskOptions = {
	readonly platform: PlatformClient;
	readonly lifeCycle: LifeCycle;
	readonly self: DispatchTarget;
	/** Tells the ledger what became of a claim. */
	readonly handle: (request: RequestId, event: CallEvent) => void;
	readonly readClock: () => number;
};

export class ClaimDesk {
	readonly #book = new ClaimRegistry();
	readonly #pending = new Map<string, Pending>();
	readonly #ends = new ClaimEnds();
	#released: Claim[] = [];
	#nextAppendAt = 0;
	#isAppending = false;
	#nextOffset = 0;
	#incompleteUntil = 0;

	constructor(private readonly options: ClaimDeskOptions) {
		const {lifeCycle, platform} = options;
		const following = platform
			.followRecords(claimStream, toLogOffset(0))
			.subscribe((event) => {
				if (event.type === 'records') {
					this.#fold(event.batch);
				}
			});
		lifeCycle.register(() => {
			following.unsubscribe();
		});
		lifeCycle.registerInterval(appendIntervalMs, () => {
			this.#giveUpLate();
			void this.#append();
		});
	}

	/** Claims that wait for the log. */
	get pending(): number {
		return this.#pending.size;
	}

	/** Keys that have an owner. */
	get keys(): number {
		return this.#book.size;
	}

	/** Claims the key of a call; the ledger hears of it later. */
	claim(call: Call): void {
		const now = this.options.readClock();
		const claim = this.#createClaim(call);
		const {key} = claim;
		const owner =
			this.#book.findOwner(key, now) ?? this.#pending.get(key)?.claim;
		if (owner) {
			this.#settle(call, claim, owner);
			return;
		}

		if (this.#book.isFull || now < this.#incompleteUntil) {
			this.#refuse(call, 'The keys claimed before are not all known.');
			return;
		}

		const giveUpAt = now + Math.min(claimWaitMs, call.deadlineMs);
		this.#pending.set(key, {
			call,
			claim,
			giveUpAt,
			isAppended: false,
			wasTried: false,
		});
	}

	/** Gives up the claim of a call that did not run. */
	release(call: Call): void {
		const claim = this.#createClaim(call);
		if (isSameClaim(this.#pending.get(claim.key)?.claim, claim)) {
			this.#pending.delete(claim.key);
		}

		this.#release(claim);
	}

	/** Records how a claimed call ended, for repeats of it. */
	recordEnd(call: Call, end: ClaimEnd): void {
		this.#ends.record(formatClaimKey(call), end);
	}

	sweep(now: number): void {
		this.#book.sweep(now);
		this.#ends.sweep((key) => this.#book.findOwner(key, now) !== undefined);
	}

	#release(claim: Claim): void {
		if (this.#released.length < maxReleases) {
			this.#released.push(claim);
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

	#fold({first, next, records}: LogRecords): void {
		const now = this.options.readClock();
		if (this.#nextOffset > 0 && first > this.#nextOffset) {
			// Records expired unread: any key may have an owner unknown here.
			this.#incompleteUntil = now + idempotencyKeyLifetimeMs;
		}

		this.#nextOffset = next;
		for (const {value} of records) {
			const record = claimRecordSchema.safeParse(value);
			if (record.success) {
				this.#book.fold(record.data, now);
			}
		}

		for (const [key, {call, claim}] of this.#pending) {
			const owner = this.#book.findOwner(key, now);
			if (owner) {
				this.#pending.delete(key);
				this.#settle(call, claim, owner);
			}
		}
	}

	#settle(call: Call, claim: Claim, owner: Claim): void {
		const {handle} = this.options;
		const verdict = decideClaim(claim, owner, this.#ends.findEnd(claim.key));
		switch (verdict.type) {
			case 'claimed': {
				handle(call.request, {type: 'claimed', call});
				break;
			}

			case 'repeated': {
				handle(call.request, {
					type: 'claimAnswered',
					answer: verdict.answer,
				});
				break;
			}

			case 'refused': {
				const {failure} = verdict;
				handle(call.request, {type: 'claimRefused', failure});
				break;
			}
		}
	}

	#refuse(call: Call, detail: string): void {
		const failure = createFailure('claimUnavailable', detail);
		this.options.handle(call.request, {type: 'claimRefused', failure});
	}

	#giveUpLate(): void {
		const now = this.options.readClock();
		for (const [key, {call, claim, giveUpAt, wasTried}] of this.#pending) {
			if (giveUpAt <= now) {
				this.#pending.delete(key);
				if (wasTried) {
					this.#release(claim);
				}

				this.#refuse(call, 'The log did not take the claim in time.');
			}
		}
	}

	async #append(): Promise<void> {
		const {platform, readClock} = this.options;
		const waiting = [...this.#pending.values()]
			.filter(({isAppended}) => !isAppended)
			.slice(0, maxBatch);
		const released = this.#released.slice(0, maxBatch);
		const isIdle = waiting.length + released.length === 0;
		if (isIdle || this.#isAppending || readClock() < this.#nextAppendAt) {
			return;
		}

		for (const each of waiting) {
			each.isAppended = true;
			each.wasTried = true;
		}

		this.#isAppending = true;
		const claims = waiting.map(({claim}) => claim);
		const record: ClaimRecord = {kind: 'claims', format: 1, claims, released};
		const appended = await platform.append(claimStream, record);
		this.#isAppending = false;
		if (appended.isOk()) {
			this.#released = this.#released.filter(
				(each) => !released.includes(each),
			);
			return;
		}

		// It may have taken effect all the same; appended again it means the same.
		this.#nextAppendAt = readClock() + retryIntervalMs;
		for (const each of waiting) {
			each.isAppended = false;
		}
	}
}
