/**
 * Cancel messages that hosts have not confirmed. A cancel may be lost with its
 * session, so it is sent again on the next session, until the host confirms it or
 * becomes unreachable.
 */
import type {Attempt, HostId, Message, RequestId} from 'bramleystage';

export class CancelOutbox {
	readonly #pending = new Map<HostId, Map<RequestId, Attempt>>();

	constructor(
		private readonly send: (host: HostId, message: Message) => void,
	) {}

	/** Cancels a request's attempts up to and including `upTo` at a host. */
	add(host: HostId, request: RequestId, upTo: Attempt): void {
		const pending = this.#pending.get(host) ?? new Map<RequestId, Attempt>();
		this.#pending.set(host, pending);
		pending.set(request, upTo);
		this.send(host, {type: 'cancel', request, upTo});
	}

	/** Records that a host has confirmed the cancel of a request. */
	confirm(host: HostId, request: RequestId): void {
		this.#pending.get(host)?.delete(request);
	}

	/** Sends a host its unconfirmed cancels again. */
	resend(host: HostId): void {
		for (const [request, upTo] of this.#pending.get(host) ?? []) {
			this.send(host, {type: 'cancel', request, upTo});
		}
	}

	/** Removes the cancels of an unreachable host. */
	removeHost(host: HostId): void {
		this.#pending.delete(host);
	}
}
