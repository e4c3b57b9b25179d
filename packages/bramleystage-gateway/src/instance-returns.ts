/**
 * Tells the return of an instance from the start of a new one. An entry goes for a while
 * when its server is cut off from the store; what the server asked for still holds then.
 */
import type {BackendId, BackendsSnapshot} from 'bramleystage';

type Backends = BackendsSnapshot['backends'];

/** An instance that the list shows and did not show before. */
export type ListedInstance = {
	readonly id: BackendId;
	/** Whether it is the one that was listed under its id before. */
	readonly isReturned: boolean;
};

export class InstanceReturns {
	/** Start times of the instances that are away, by id. */
	readonly #away = new Map<BackendId, number>();

	/** Takes a change of the list and lists its new instances; of those that go, it remembers the ones of interest. */
	update(
		previous: Backends,
		next: Backends,
		isOfInterest: (id: BackendId) => boolean,
	): readonly ListedInstance[] {
		const listed: ListedInstance[] = [];
		for (const [id, {bornAt}] of next) {
			const known = previous.get(id);
			if (known?.bornAt !== bornAt) {
				listed.push({id, isReturned: this.#away.get(id) === bornAt});
			}

			this.#away.delete(id);
		}

		for (const id of this.#away.keys()) {
			if (!isOfInterest(id)) {
				this.#away.delete(id);
			}
		}

		for (const [id, {bornAt}] of previous) {
			if (!next.has(id) && isOfInterest(id)) {
				this.#away.set(id, bornAt);
			}
		}

		return listed;
	}
}
