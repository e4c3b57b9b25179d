/** Logs which traits of requests are to blame for ends of servers, and which no longer. */
import {
	type Blame,
	type CrashEvidence,
	findBlame,
	type Logger,
	type RequestTrait,
	type Standings,
} from 'bramleystage';

export class BlameLog {
	readonly #blamed = new Set<RequestTrait>();

	constructor(private readonly logger: Logger) {}

	/** Number of traits to blame. */
	get count(): number {
		return this.#blamed.size;
	}

	/** Logs what new evidence has changed. */
	update(evidence: CrashEvidence, standings: Standings, now: number): void {
		for (const trait of standings.keys()) {
			const blame = findBlame(evidence, standings, [trait]);
			if (blame && !this.#blamed.has(trait)) {
				this.#blamed.add(trait);
				this.logger.warn('trait.blocked', {
					trait,
					crashes: formatCrashes(blame, now),
				});
			}
		}

		for (const trait of this.#blamed) {
			if (!findBlame(evidence, standings, [trait])) {
				this.#blamed.delete(trait);
				const isSound = evidence.soundAt.has(trait);
				this.logger.info('trait.cleared', {
					trait,
					reason: isSound ? 'sound' : 'weakerEvidence',
				});
			}
		}
	}
}

/** Formats the crashes of a trait for the log: each instance, and how long ago it ended. */
export const formatCrashes = ({crashes}: Blame, now: number): string =>
	crashes
		.map(
			({instance, endedAt}) =>
				`${instance} ${Math.round(now - endedAt)} ms ago`,
		)
		.join(', ');
