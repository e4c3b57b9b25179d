/**
 * Sessions that entries have opened to this agent. Only the newest session of
 * an entry's incarnation counts: frames of an older one are late and dropped,
 * and answers go out on the newest.
 */
import type {
	Hello,
	Message,
	Session,
	SessionNumber,
	HostId,
	Incarnation,
} from 'bramleystage';

/** One life of an entry process. */
export type EntryKey = `${HostId}/${Incarnation}`;

type NewestSession = {
	readonly session: Session;
	readonly number: SessionNumber;
};

export class EntrySessions {
	readonly #newest = new Map<EntryKey, NewestSession>();

	get size(): number {
		return this.#newest.size;
	}

	/** Takes a new session; gives its entry's key. */
	register(session: Session, hello: Hello): EntryKey {
		const key: EntryKey = `${hello.host}/${hello.incarnation}`;
		const known = this.#newest.get(key);
		if (!known || known.number < hello.session) {
			this.#newest.set(key, {session, number: hello.session});
		}

		return key;
	}

	has(key: EntryKey): boolean {
		return this.#newest.has(key);
	}

	isNewest(key: EntryKey, session: Session): boolean {
		return this.#newest.get(key)?.session === session;
	}

	/** Forgets a session that ended; true if the entry has none left. */
	remove(key: EntryKey, session: Session): boolean {
		return this.isNewest(key, session) && this.#newest.delete(key);
	}

	send(key: EntryKey, message: Message): void {
		this.#newest.get(key)?.session.send(message);
	}
}
