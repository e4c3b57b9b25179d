/**
 * Sessions that this process opens to others, one for each wanted address. A
 * session that ends is opened again after a backoff, until the address is no
 * longer wanted.
 */
import {Subject} from 'rxjs';
import type {Hello, Message} from '../protocol/messages.js';
import type {Failure} from '../protocol/result-codes.js';
import {toSessionNumber} from '../protocol/ids.js';
import {openSession} from './session-handshake.js';
import type {Session, SessionOptions} from './session.js';

export type PoolEvent =
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
/** A session that lasted this long is opened again at once. */
const stableMs = 500;
const maxBackoffMs = 1000;

type Slot = {
	session: Session | undefined;
	isWanted: boolean;
	/** Ends the present backoff. */
	wake: (() => void) | undefined;
};

export class SessionPool {
	readonly events = new Subject<PoolEvent>();
	readonly #slots = new Map<string, Slot>();
	#lastNumber = 0;

	constructor(
		private readonly options: SessionOptions & {
			readonly hello: Omit<Hello, 'session' | 'type' | 'version'> & {
				version: number;
			};
		},
	) {}

	/** Wants sessions to exactly these addresses. */
	update(addresses: ReadonlySet<string>): void {
		for (const [address, slot] of this.#slots) {
			if (!addresses.has(address)) {
				this.#drop(address, slot);
			}
		}

		for (const address of addresses) {
			this.open(address);
		}
	}

	/** Wants a session to one more address. */
	open(address: string): void {
		if (this.#slots.has(address)) {
			return;
		}

		const slot: Slot = {session: undefined, isWanted: true, wake: undefined};
		this.#slots.set(address, slot);
		void this.#run(address, slot);
	}

	/** Wants a session to an address now: ends a backoff that is under way. */
	reopen(address: string): void {
		this.open(address);
		this.#slots.get(address)?.wake?.();
	}

	/** Gives the live session to an address, if there is one. */
	findSession(address: string): Session | undefined {
		return this.#slots.get(address)?.session;
	}

	/** Ends every session; the pool can't be used again. */
	close(): void {
		for (const [address, slot] of this.#slots) {
			this.#drop(address, slot);
		}

		this.events.complete();
	}

	#drop(address: string, slot: Slot): void {
		slot.isWanted = false;
		this.#slots.delete(address);
		slot.session?.close({
			result: 'stopping',
			outcome: 'unknown',
			detail: 'The session is no longer wanted.',
		});
	}

	async #run(address: string, slot: Slot): Promise<void> {
		let backoffMs = minBackoffMs;
		/* eslint-disable no-await-in-loop -- one session at a time to an address */
		while (slot.isWanted) {
			try {
				const startedAt = performance.now();
				await this.#runSession(address, slot);
				backoffMs = minBackoffMs;
				if (performance.now() - startedAt > stableMs) {
					continue;
				}
			} catch (error) {
				const reason = (error as Error).message;
				this.events.next({type: 'refused', address, reason});
				backoffMs = Math.min(backoffMs * 2, maxBackoffMs);
			}

			await waitForWake(slot, backoffMs);
		}
		/* eslint-enable no-await-in-loop */
	}

	async #runSession(address: string, slot: Slot): Promise<void> {
		this.#lastNumber++;
		const session = await openSession(
			address,
			{
				type: 'hello',
				...this.options.hello,
				session: toSessionNumber(this.#lastNumber),
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

/** Resolves after a time in milliseconds, or when the slot is woken. */
async function waitForWake(slot: Slot, durationMs: number): Promise<void> {
	return new Promise((resolve) => {
		const timer = setTimeout(resolve, durationMs);
		slot.wake = () => {
			clearTimeout(timer);
			resolve();
		};
	});
}

/** Resolves after a time in milliseconds. */
export async function waitFor(durationMs: number): Promise<void> {
	return new Promise((resolve) => {
		setTimeout(resolve, durationMs);
	});
}
