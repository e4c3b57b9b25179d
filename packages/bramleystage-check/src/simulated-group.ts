/**
 * The group of gateways at the store. Who owns which partition is assigned evenly among
 * the members; a partition passes on only when its owner has renewed, left or lapsed.
 */

export const partitionCount = 24;

type Member = {renewedAt: number; generation: number};

export class SimulatedGroup {
	generation = 0;
	readonly #members = new Map<string, Member>();
	readonly #owners: Array<string | undefined> = Array.from(
		{length: partitionCount},
		() => undefined,
	);

	/** Adds or renews a member; returns the generation. */
	join(
		member: string,
		generation: number,
		memberMs: number,
		now: number,
	): number {
		this.#removeLapsed(memberMs, now);
		const known = this.#members.get(member);
		if (!known) {
			this.generation++;
		}

		this.#members.set(member, {
			renewedAt: now,
			generation: known ? Math.max(generation, 0) : this.generation,
		});
		this.#assign();
		return this.generation;
	}

	leave(member: string): void {
		if (this.#members.delete(member)) {
			this.generation++;
			this.#assign();
		}
	}

	/** Gives all partitions to a part of the members at once. */
	redistribute(draw: () => number): void {
		this.generation++;
		const members = [...this.#members.keys()];
		for (let part = 0; part < partitionCount; part++) {
			this.#owners[part] =
				members[Math.floor(draw() * members.length)] ?? undefined;
		}
	}

	listOwners(memberMs: number, now: number): string[] {
		this.#removeLapsed(memberMs, now);
		return [...new Set(this.#owners.flatMap((owner) => owner ?? []))];
	}

	#removeLapsed(memberMs: number, now: number): void {
		for (const [member, {renewedAt}] of this.#members) {
			if (now - renewedAt > memberMs) {
				this.#members.delete(member);
				this.generation++;
			}
		}

		this.#assign();
	}

	#assign(): void {
		const members = [...this.#members.keys()].toSorted();
		const {generation} = this;
		for (let part = 0; part < partitionCount; part++) {
			const owner = this.#owners[part];
			const next = members[part % Math.max(1, members.length)];
			const held = owner === undefined ? undefined : this.#members.get(owner);
			if (owner !== next && (!held || held.generation >= generation)) {
				this.#owners[part] = next;
				this.generation = generation + 1;
			}
		}
	}
}
