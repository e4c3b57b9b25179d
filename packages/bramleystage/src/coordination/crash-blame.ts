/**
 * Decides which trait of requests is to blame for crashes and which requests are
 * refused for it; crash-probe.ts decides who may try one of them again.
 *
 * A trait is to blame if several requests with it, at several instances, each ended
 * the instance, and none with it got a sound answer since. A trait that was sound
 * before, such as a part of all prompts, must in addition have been tried anew after
 * each crash: servers that end together, as with the loss of a rack, blame nobody. In
 * a request, a crash counts against a trait only if no other trait explains it that
 * the request doesn't have: one that is as suspect and was there too.
 *
 * What only repeats of one request have in common, its forms, needs no several
 * requests: it is to blame once a number of instances ended under it.
 */
import type {RequestTrait} from '../protocol/ids.js';
import type {Crash, CrashEvidence} from './crash-evidence.js';

/** Crashes that blame a trait; each must have a request of its own. */
const minCrashes = 3;
/** Rounds among them if the trait was never sound. A crash begins a new round if its request was sent after the last crash of the round before. */
export const minRounds = 2;
/** Crashes that blame a trait that was never sound, also in a single round. */
const certainCrashes = 5;
/** Crashes from which on other traits no longer explain those of a trait. */
const maxExplainedCrashes = 8;

/** Ends of instances that blame a form of a request. */
const minFormEnds = 3;
/** Servers that may end under a request if nothing but that speaks against it. */
const maxEnds = 3;
/** The same if it has a part that no sound answer is known on. */
const maxEndsInDoubt = 2;

/** What speaks against a trait. */
export type Standing = {
	/** Crashes since its last sound answer, each with a request of its own. */
	readonly count: number;
	/** Instances that ended since its last sound answer. */
	readonly ends: number;
	/** Place among the forms of its requests; undefined if it is none. */
	readonly form?: number;
	readonly rounds: number;
	/** Whether a request with it ever got a sound answer, as far as is known. */
	readonly wasSound: boolean;
	readonly lastAt: number;
};

/** What a request has in common with others. */
export type RequestTraits = {
	/** Parts of its prompt that other callers' requests have too. */
	readonly shared: readonly RequestTrait[];
	/** What only its repeats have in common, or requests of its session, from the widest to the narrowest. */
	readonly forms: readonly RequestTrait[];
	/** The form that tells it from other requests with a shared part. */
	readonly own: RequestTrait;
};

export type Standings = ReadonlyMap<RequestTrait, Standing>;

export type Blame = {
	readonly trait: RequestTrait;
	readonly crashes: readonly Crash[];
	/** Steady-clock time of the last crash, in milliseconds. */
	readonly lastAt: number;
	readonly rounds: number;
	/** Most ends under a form of the request. */
	readonly formEnds: number;
};

const listCrashesSinceSound = (
	{crashes, soundAt}: CrashEvidence,
	trait: RequestTrait,
): Crash[] => {
	const since = soundAt.get(trait) ?? Number.NEGATIVE_INFINITY;
	return [...crashes.values()]
		.filter(({suspects, endedAt}) => suspects.has(trait) && endedAt > since)
		.toSorted((a, b) => a.endedAt - b.endedAt);
};

function computeStanding(
	trait: RequestTrait,
	crashes: readonly Crash[],
	wasSound: boolean,
): Standing {
	const used = new Set<string>();
	let rounds = 0;
	let roundEndedAt = Number.NEGATIVE_INFINITY;
	for (const {suspects, endedAt} of crashes) {
		const suspicion = suspects.get(trait);
		const witness = suspicion?.witnesses.find((item) => !used.has(item));
		if (!suspicion || witness === undefined) {
			continue;
		}

		used.add(witness);
		if (suspicion.sentAt > roundEndedAt) {
			rounds++;
			roundEndedAt = endedAt;
		}
	}

	return {
		count: used.size,
		ends: crashes.length,
		form: crashes.at(-1)?.suspects.get(trait)?.form,
		rounds,
		wasSound,
		lastAt: crashes.at(-1)?.endedAt ?? Number.NEGATIVE_INFINITY,
	};
}

/** Computes what speaks against each suspect trait. */
export function computeStandings({crashes, soundAt}: CrashEvidence): Standings {
	const byTrait = new Map<RequestTrait, Crash[]>();
	const sorted = [...crashes.values()].toSorted(
		(a, b) => a.endedAt - b.endedAt,
	);
	for (const crash of sorted) {
		for (const trait of crash.suspects.keys()) {
			const list = byTrait.get(trait) ?? [];
			byTrait.set(trait, list);
			if (crash.endedAt > (soundAt.get(trait) ?? Number.NEGATIVE_INFINITY)) {
				list.push(crash);
			}
		}
	}

	return new Map(
		[...byTrait].map(([trait, list]) => [
			trait,
			computeStanding(trait, list, soundAt.has(trait)),
		]),
	);
}

function isToBlame({form, ends, count, rounds, wasSound}: Standing): boolean {
	if (form !== undefined) {
		return ends >= minFormEnds;
	}

	return wasSound
		? rounds >= minCrashes
		: count >= certainCrashes || (count >= minCrashes && rounds >= minRounds);
}

/** Whether another form explains the crashes of one: more instances ended under it, or as many while it is narrower. */
const isFormExplained = (own: Standing, other: Standing): boolean =>
	other.form !== undefined &&
	(other.ends > own.ends ||
		(other.ends === own.ends && other.form > (own.form ?? 0)));

/**
 * Whether a trait that a request doesn't have explains a crash as well as one that it
 * has. One that was sound before, such as a part of all prompts, is in more crashes
 * than the guilty one, so any other that is to blame explains those that they share.
 */
const isExplained = (
	crash: Crash,
	own: Standing,
	traits: readonly RequestTrait[],
	standings: Standings,
): boolean =>
	[...crash.suspects.keys()].some((other) => {
		const standing = standings.get(other);
		if (standing === undefined || traits.includes(other)) {
			return false;
		}

		if (own.form !== undefined) {
			return isFormExplained(own, standing);
		}

		const isAsSuspect =
			standing.count >= own.count && own.count < maxExplainedCrashes;
		return own.wasSound
			? isToBlame(standing) || isAsSuspect
			: isAsSuspect && !standing.wasSound;
	});

/** Finds the trait of a request for which it is refused. */
export function findBlame(
	evidence: CrashEvidence,
	standings: Standings,
	traits: readonly RequestTrait[],
): Blame | undefined {
	const formEnds = computeMaxFormEnds(standings, traits);
	for (const trait of traits) {
		const own = standings.get(trait);
		if (!own || !isToBlame(own)) {
			continue;
		}

		const crashes = listCrashesSinceSound(evidence, trait).filter(
			(crash) => !isExplained(crash, own, traits, standings),
		);
		const unexplained = computeStanding(trait, crashes, own.wasSound);
		if (isToBlame(unexplained)) {
			const {lastAt, rounds} = own;
			return {trait, crashes, lastAt, rounds, formEnds};
		}
	}

	return undefined;
}

const computeMaxFormEnds = (
	standings: Standings,
	traits: readonly RequestTrait[],
): number =>
	Math.max(
		0,
		...traits.map((trait) => {
			const {form, ends = 0} = standings.get(trait) ?? {};
			return form === undefined ? 0 : ends;
		}),
	);

/** Finds the last end of an instance under any of the traits since its last sound answer; minus infinity if there is none. */
export const findLastEnd = (
	standings: Standings,
	traits: readonly RequestTrait[],
): number =>
	Math.max(
		Number.NEGATIVE_INFINITY,
		...traits.map(
			(trait) => standings.get(trait)?.lastAt ?? Number.NEGATIVE_INFINITY,
		),
	);

/** Whether any crash since its last sound answer speaks against a trait. */
function isSuspect({form, ends, rounds, wasSound}: Standing): boolean {
	return form === undefined && wasSound ? rounds > 1 : ends > 0;
}

/** Whether other requests with a trait of this one may have ended a server. */
export const hasSuspectTrait = (
	standings: Standings,
	{shared, forms}: RequestTraits,
): boolean =>
	[...shared, ...forms].some((trait) => {
		const standing = standings.get(trait);
		return standing !== undefined && isSuspect(standing);
	});

/**
 * Computes how many servers may end under a request before it is repeated no more, as
 * each further run may end another one: the more requests speak against a part of it,
 * the fewer.
 */
export function computeAllowedEnds(
	standings: Standings,
	{shared, forms}: RequestTraits,
): number {
	const counts = shared.flatMap((trait) => {
		const standing = standings.get(trait);
		return standing && isSuspect(standing) ? [standing.count] : [];
	});
	const formCounts = forms.map((trait) => standings.get(trait)?.count ?? 0);
	if ([...counts, ...formCounts].some((count) => count > 1)) {
		return 1;
	}

	return counts.length > 0 ? maxEndsInDoubt : maxEnds;
}

/** Ends from which on evidence against a form is worth saving. */
const minLastingEnds = 2;

/** Selects what is worth saving for gateways that start later: what speaks against a form more than once, or is to blame. */
export function selectLastingEvidence(
	{crashes, soundAt, probes}: CrashEvidence,
	standings: Standings,
): CrashEvidence {
	const isLasting = (trait: RequestTrait) => {
		const standing = standings.get(trait);
		return (
			standing !== undefined &&
			(isToBlame(standing) ||
				(standing.form !== undefined && standing.ends >= minLastingEnds))
		);
	};

	const selected = [...crashes.values()].map((crash) => ({
		...crash,
		suspects: new Map(
			[...crash.suspects].filter(([trait]) => isLasting(trait)),
		),
	}));
	return {
		crashes: new Map(
			selected
				.filter(({suspects}) => suspects.size > 0)
				.map((crash) => [crash.instance, crash]),
		),
		soundAt: new Map([...soundAt].filter(([trait]) => isLasting(trait))),
		probes: new Map([...probes].filter(([trait]) => isLasting(trait))),
	};
}
