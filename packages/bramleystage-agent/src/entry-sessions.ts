/**
 * Sessions that entries have opened to this agent. Only the newest session of
 * an entry's incarnation is used: frames that arrive on an older one are
 * dropped, and messages are sent on the newest.
 */
import {
	type Hello,
	type HostId,
	type Incarnation,
	isCurrentSession,
	type Message,
	type Session,
	type SessionFence,
	updateSessionFence,
} from 'bramleystage';

/** Identifies one incarnation (run of the process) of an entry. */
export type EntryKey = `${HostId}/${Incarnation}`;

/** Entry incarnations whose highest session number is remembered. */
const maxFences = 10_000;

export class EntrySessions {
	readonly #newest = new Map<EntryKey, Session>();
	readonly #fences = new Map<EntryKey, SessionFence>();

	get size(): number {
		return this.#newest.size;
	}

	/** Registers a new session; returns the key of its entry. */
	register(session: Session, hello: Hello): EntryKey {
		const key: EntryKey = `${hello.host}/${hello.incarnation}`;
		const fence = updateSessionFence(this.#fences.get(key), hello.session);
		this.#fences.delete(key);
		this.#fences.set(key, fence);
		this.#evictOldestFence();
		if (isCurrentSession(fence, hello.session)) {
			this.#newest.set(key, session);
		}

		return key;
	}

	has(key: EntryKey): boolean {
		return this.#newest.has(key);
	}

	isNewest(key: EntryKey, session: Session): boolean {
		return this.#newest.get(key) === session;
	}

	/** Removes a closed session; true if it was the newest, so that the entry has none left. */
	remove(key: EntryKey, session: Session): boolean {
		return this.isNewest(key, session) && this.#newest.delete(key);
	}

	send(key: EntryKey, message: Message): void {
		this.#newest.get(key)?.send(message);
	}

	/** Evicts the least recently updated fence if there are too many. */
	#evictOldestFence(): void {
		const [oldest] = this.#fences.keys();
		if (oldest !== undefined && this.#fences.size > maxFences) {
			this.#fences.delete(oldest);
		}
	}
}
