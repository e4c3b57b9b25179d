/**
 * Cancels that hosts have not confirmed. A cancel may be lost with its session,
 * so it is sent again on the next one, until the host confirms it or is gone.
 */
import type {Attempt, HostId, Message, RequestId} from 'bramleystage';

export class CancelOutbox {
	readonly #pending = new Map<HostId, Map<RequestId, Attempt>>();

	constructor(
		private readonly send: (host: HostId, message: Message) => void,
	) {}

	/** Cancels the attempts of a request up to a number at a host. */
	add(host: HostId, request: RequestId, upTo: Attempt): void {
		const pending = this.#pending.get(host) ?? new Map<RequestId, Attempt>();
		this.#pending.set(host, pending);
		pending.set(request, upTo);
		this.send(host, {type: 'cancel', request, upTo});
	}

	/** Takes a host's word that it has cancelled a request. */
	settle(host: HostId, request: RequestId): void {
		this.#pending.get(host)?.delete(request);
	}

	/** Sends a host again what it has not confirmed. */
	resend(host: HostId): void {
		for (const [request, upTo] of this.#pending.get(host) ?? []) {
			this.send(host, {type: 'cancel', request, upTo});
		}
	}

	/** Forgets a host that cannot be reached. */
	forget(host: HostId): void {
		this.#pending.delete(host);
	}
}
