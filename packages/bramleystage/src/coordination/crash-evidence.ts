/**
 * Evidence on requests that end backend servers ("queries of death"). When an
 * instance of a server ends, the requests that it was about to answer are suspects.
 * What suspects of several ends have in common, and no sound answer speaks for, is to
 * blame (crash-blame.ts). Gateways exchange their evidence, so all functions merge:
 * recording something twice changes nothing, and the order matters only where a bound
 * is reached.
 */
import type {InstanceKey, RequestTrait} from '../protocol/ids.js';

/** What speaks against a trait in one crash. */
export type Suspicion = {
	/** Requests with the trait, a few of them; equal for repeats of one request where that can be told. */
	readonly witnesses: readonly string[];
	/** Steady-clock time at which the last of them was sent, in milliseconds. */
	readonly sentAt: number;
	/** Place of the trait among the forms of its requests, from 0 for the widest; absent for parts that others share. */
	readonly form?: number;
};

/** The end of an instance, with what the requests had in common that it was about to answer. */
export type Crash = {
	readonly instance: InstanceKey;
	/** Steady-clock time, in milliseconds. */
	readonly endedAt: number;
	/** Steady-clock time at which it was last used to refuse a request, in milliseconds. */
	readonly citedAt: number;
	/** Whether the suspects' answers had begun; then only forms of the requests that still waited are suspects too. */
	readonly isBegun: boolean;
	readonly suspects: ReadonlyMap<RequestTrait, Suspicion>;
};

export type ProbeRecord = {
	/** Requests that were let through although a trait was to blame. */
	readonly count: number;
	/** Steady-clock time of the last one, in milliseconds. */
	readonly at: number;
};

export type CrashEvidence = {
	readonly crashes: ReadonlyMap<InstanceKey, Crash>;
	/** Steady-clock time of the last sound answer to a request with a suspect trait, in milliseconds. */
	readonly soundAt: ReadonlyMap<RequestTrait, number>;
	readonly probes: ReadonlyMap<RequestTrait, ProbeRecord>;
};

/** Bounds of what is kept. */
const maxCrashes = 64;
const maxSuspects = 96;
const maxWitnesses = 4;
/** Time after which a crash is forgotten if no request was ever refused for it, in milliseconds. */
const keepMs = 600_000;
/** Time after the last refusal for a crash after which it is forgotten, in milliseconds. */
const keepCitedMs = 24 * 3_600_000;
/** By how much a sound answer must be later than the last known one to count as news, in milliseconds; more than messages between gateways usually take. */
const minSoundAdvanceMs = 500;
/** The same for a crash that is used to refuse requests, in milliseconds. */
const minCitedAdvanceMs = 30_000;

export const createCrashEvidence = (): CrashEvidence => ({
	crashes: new Map(),
	soundAt: new Map(),
	probes: new Map(),
});

/** Records a crash, or merges it with what is known of it. Returns the same state if that tells nothing new. */
export function recordCrash(
	evidence: CrashEvidence,
	crash: Crash,
): CrashEvidence {
	const known = evidence.crashes.get(crash.instance);
	const merged = known ? mergeCrashes(known, crash) : selectSuspects(crash);
	if (merged === known) {
		return evidence;
	}

	const crashes = new Map(evidence.crashes).set(crash.instance, merged);
	return removeUnused({...evidence, crashes: selectCrashes(crashes)});
}

/** Whether a crash was ever used to refuse a request. */
const isCited = ({citedAt, endedAt}: Crash) => citedAt > endedAt;

/** Whether a use at a time is worth recording: the first one, or one well after the last. */
const isLaterCitation = (crash: Crash, at: number): boolean =>
	at > crash.citedAt + (isCited(crash) ? minCitedAdvanceMs : 0);

function mergeCrashes(known: Crash, other: Crash): Crash {
	if (known.isBegun !== other.isBegun) {
		const endedAt = Math.min(known.endedAt, other.endedAt);
		return known.isBegun
			? mergeCrashes(known, {...selectForms(other), isBegun: true})
			: mergeCrashes(
					{
						...selectSuspects(other),
						endedAt,
						citedAt: isCited(other) ? other.citedAt : endedAt,
					},
					{...selectForms(known), isBegun: true},
				);
	}

	const citedAt =
		isCited(other) && isLaterCitation(known, other.citedAt)
			? other.citedAt
			: known.citedAt;
	const suspects = new Map(known.suspects);
	let hasNews = citedAt !== known.citedAt;
	for (const [trait, suspicion] of other.suspects) {
		const before = suspects.get(trait);
		const merged = before ? mergeSuspicions(before, suspicion) : suspicion;
		const hasRoom = before !== undefined || suspects.size < maxSuspects;
		if (merged !== before && hasRoom) {
			suspects.set(trait, merged);
			hasNews = true;
		}
	}

	return hasNews ? {...known, citedAt, suspects} : known;
}

function mergeSuspicions(known: Suspicion, other: Suspicion): Suspicion {
	const added = other.witnesses.filter(
		(witness) => !known.witnesses.includes(witness),
	);
	const room = maxWitnesses - known.witnesses.length;
	return added.length === 0 || room <= 0
		? known
		: {
				...known,
				witnesses: [...known.witnesses, ...added.slice(0, room)],
				sentAt: Math.max(known.sentAt, other.sentAt),
			};
}

/** Selects the suspects that are forms of requests. */
const selectForms = (crash: Crash): Crash => ({
	...crash,
	suspects: new Map(
		[...crash.suspects].filter(([, {form}]) => form !== undefined),
	),
});

const selectSuspects = (crash: Crash): Crash => ({
	...crash,
	suspects: new Map(
		[...crash.suspects].slice(0, maxSuspects).map(([trait, suspicion]) => [
			trait,
			{
				...suspicion,
				witnesses: suspicion.witnesses.slice(0, maxWitnesses),
			},
		]),
	),
});

/** Keeps as many crashes as allowed: those used to refuse requests before others, and the latest of each kind. */
function selectCrashes(
	crashes: ReadonlyMap<InstanceKey, Crash>,
): ReadonlyMap<InstanceKey, Crash> {
	if (crashes.size <= maxCrashes) {
		return crashes;
	}

	const kept = [...crashes.values()]
		.toSorted(
			(a, b) =>
				Number(isCited(b)) - Number(isCited(a)) || b.citedAt - a.citedAt,
		)
		.slice(0, maxCrashes);
	return new Map(kept.map((crash) => [crash.instance, crash]));
}

/** Drops what is known of traits that no crash has as a suspect. */
function removeUnused(evidence: CrashEvidence): CrashEvidence {
	const traits = new Set(
		[...evidence.crashes.values()].flatMap(({suspects}) => [
			...suspects.keys(),
		]),
	);
	const isUsed = ([trait]: readonly [RequestTrait, unknown]) =>
		traits.has(trait);
	return {
		crashes: evidence.crashes,
		soundAt: new Map([...evidence.soundAt].filter((entry) => isUsed(entry))),
		probes: new Map([...evidence.probes].filter((entry) => isUsed(entry))),
	};
}

/** Records a sound answer to a request with a suspect trait; returns the same state if one is known that tells as much. */
export function recordSound(
	evidence: CrashEvidence,
	trait: RequestTrait,
	at: number,
): CrashEvidence {
	const known = evidence.soundAt.get(trait) ?? Number.NEGATIVE_INFINITY;
	const hasCrashBetween = [...evidence.crashes.values()].some(
		({suspects, endedAt}) =>
			suspects.has(trait) && endedAt > known && endedAt <= at,
	);
	if (at < known + minSoundAdvanceMs && !hasCrashBetween) {
		return evidence;
	}

	return {
		...evidence,
		soundAt: new Map(evidence.soundAt).set(trait, at),
	};
}

/** Records requests that were let through although a trait was to blame. */
export function recordProbe(
	evidence: CrashEvidence,
	trait: RequestTrait,
	probe: ProbeRecord,
): CrashEvidence {
	const known = evidence.probes.get(trait);
	return known && known.count >= probe.count
		? evidence
		: {...evidence, probes: new Map(evidence.probes).set(trait, probe)};
}

/** Records that the crashes of a trait were used to refuse a request, so that they are kept. */
export function recordCitation(
	evidence: CrashEvidence,
	trait: RequestTrait,
	now: number,
): CrashEvidence {
	const cited = [...evidence.crashes.values()].filter(
		(crash) => crash.suspects.has(trait) && isLaterCitation(crash, now),
	);
	if (cited.length === 0) {
		return evidence;
	}

	const crashes = new Map(evidence.crashes);
	for (const crash of cited) {
		crashes.set(crash.instance, {...crash, citedAt: now});
	}

	return {...evidence, crashes};
}

/** Drops crashes for which no request was refused lately. */
export function removeOldCrashes(
	evidence: CrashEvidence,
	now: number,
): CrashEvidence {
	const kept = [...evidence.crashes].filter(
		([, crash]) =>
			now - crash.citedAt < (isCited(crash) ? keepCitedMs : keepMs),
	);
	return kept.length === evidence.crashes.size
		? evidence
		: removeUnused({...evidence, crashes: new Map(kept)});
}
