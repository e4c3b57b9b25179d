/**
 * Keeps one session open to each of a set of addresses. A session that ends or
 * can't be opened is opened again after a backoff, until its address is removed
 * from the set.
 */
import {Subject} from 'rxjs';
import type {Hello, Message} from '../protocol/messages.js';
import type {Failure} from '../protocol/result-codes.js';
import {toSessionNumber} from '../protocol/ids.js';
import {openSession} from './session-handshake.js';
import type {Session, SessionOptions} from './session.js';

/** Event of a session; `refused` covers every failure to open one. */
export type SessionPoolEvent =
	| {
			readonly type: 'opened';
			readonly session: Session;
			readonly address: string;
	  }
	| {
			readonly type: 'message';
			readonly session: Session;
			readonly address: string;
			readonly message: Message;
	  }
	| {
			readonly type: 'closed';
			readonly session: Session;
			readonly address: string;
			readonly reason: Failure;
	  }
	| {
			readonly type: 'refused';
			readonly address: string;
			readonly reason: string;
	  };

const minBackoffMs = 50;
/** A session that lasted longer than this is reopened without a backoff. */
const stableSessionMs = 500;
const maxBackoffMs = 1000;

type Slot = {
	session: Session | undefined;
	/** False once the address has been removed. */
	isWanted: boolean;
	/** Ends the current backoff early. */
	endBackoff: (() => void) | undefined;
};

export class SessionPool {
	readonly events = new Subject<SessionPoolEvent>();
	readonly #slots = new Map<string, Slot>();
	#lastSessionNumber = 0;

	constructor(
		private readonly options: SessionOptions & {
			readonly hello: Omit<Hello, 'session' | 'type' | 'version'> & {
				version: number;
			};
		},
	) {}

	/**
	 * Replaces the set of addresses: opens the missing sessions and closes the
	 * others.
	 */
	setAddresses(addresses: ReadonlySet<string>): void {
		for (const [address, slot] of this.#slots) {
			if (!addresses.has(address)) {
				this.#removeSlot(address, slot);
			}
		}

		for (const address of addresses) {
			this.open(address);
		}
	}

	/** Adds an address to the set; no effect if it is already there. */
	open(address: string): void {
		if (this.#slots.has(address)) {
			return;
		}

		const slot: Slot = {
			session: undefined,
			isWanted: true,
			endBackoff: undefined,
		};
		this.#slots.set(address, slot);
		void this.#keepSessionOpen(address, slot);
	}

	/**
	 * Adds an address if it is missing and ends a backoff, so that a session is
	 * opened immediately.
	 */
	openNow(address: string): void {
		this.open(address);
		this.#slots.get(address)?.endBackoff?.();
	}

	/** Returns the open session to an address, or undefined. */
	findSession(address: string): Session | undefined {
		return this.#slots.get(address)?.session;
	}

	/** Closes every session; the pool can't be used afterwards. */
	close(): void {
		for (const [address, slot] of this.#slots) {
			this.#removeSlot(address, slot);
		}

		this.events.complete();
	}

	#removeSlot(address: string, slot: Slot): void {
		slot.isWanted = false;
		this.#slots.delete(address);
		slot.session?.close({
			result: 'stopping',
			outcome: 'unknown',
			detail: 'The address was removed from the session pool.',
		});
	}

	async #keepSessionOpen(address: string, slot: Slot): Promise<void> {
		let backoffMs = minBackoffMs;
		/* eslint-disable no-await-in-loop -- only one session at a time to an address */
		while (slot.isWanted) {
			try {
				const startedAt = performance.now();
				await this.#runSession(address, slot);
				backoffMs = minBackoffMs;
				if (performance.now() - startedAt > stableSessionMs) {
					continue;
				}
			} catch (error) {
				const reason = (error as Error).message;
				this.events.next({type: 'refused', address, reason});
				backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
			}

			await waitForBackoff(slot, backoffMs);
		}
		/* eslint-enable no-await-in-loop */
	}

	async #runSession(address: string, slot: Slot): Promise<void> {
		this.#lastSessionNumber++;
		const session = await openSession(
			address,
			{
				type: 'hello',
				...this.options.hello,
				session: toSessionNumber(this.#lastSessionNumber),
			},
			this.options.timing,
		);
		if (!slot.isWanted) {
			session.close({result: 'stopping', outcome: 'unknown', detail: ''});
			return;
		}

		slot.session = session;
		session.messages.subscribe((message) => {
			this.events.next({type: 'message', session, address, message});
		});
		this.events.next({type: 'opened', session, address});
		session.start(this.options);
		const reason = await session.closed;
		slot.session = undefined;
		this.events.next({type: 'closed', session, address, reason});
	}
}

/**
 * Resolves after a time in milliseconds, or when the slot's `endBackoff` is
 * called.
 */
async function waitForBackoff(slot: Slot, durationMs: number): Promise<void> {
	return new Promise((resolve) => {
		const timer = setTimeout(resolve, durationMs);
		slot.endBackoff = () => {
			clearTimeout(timer);
			resolve();
		};
	});
}
