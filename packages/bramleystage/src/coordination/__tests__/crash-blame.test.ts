/** Which traits of requests are to blame for ends of servers, and who may try one again. */
import fc from 'fast-check';
import {expect, test} from 'vitest';
import {
	type RequestTrait,
	toInstanceKey,
	toRequestTrait,
} from '../../protocol/ids.js';
import {
	computeAllowedEnds,
	computeStandings,
	findBlame,
	hasSuspectTrait,
} from '../crash-blame.js';
import {
	type Crash,
	type CrashEvidence,
	createCrashEvidence,
	recordCitation,
	recordCrash,
	recordProbe,
	recordSound,
	removeOldCrashes,
} from '../crash-evidence.js';
import {isProbeDue} from '../crash-probe.js';

const [shared, guilty, rare, topic] = ['shared', 'guilty', 'rare', 'topic'].map(
	(name) => toRequestTrait(name),
) as [RequestTrait, RequestTrait, RequestTrait, RequestTrait];

type Run = {
	readonly request: string;
	readonly traits: readonly RequestTrait[];
	readonly sentAt?: number;
};

/** Builds the end of an instance at a time, under runs that were sent 50 ms before. */
function buildCrash(
	instance: string,
	endedAt: number,
	runs: readonly Run[],
	isBegun = true,
): Crash {
	const suspects = new Map(
		runs
			.flatMap(({traits}) => traits)
			.map((trait) => {
				const own = runs.filter(({traits}) => traits.includes(trait));
				const sentAt = Math.max(
					...own.map((run) => run.sentAt ?? endedAt - 50),
				);
				const witnesses = own.map(({request}) => request);
				return [trait, {witnesses, sentAt}];
			}),
	);
	return {
		instance: toInstanceKey(instance),
		endedAt,
		citedAt: endedAt,
		isBegun,
		suspects,
	};
}

const recordCrashes = (
	crashes: readonly Crash[],
	from = createCrashEvidence(),
): CrashEvidence => {
	let evidence = from;
	for (const crash of crashes) {
		evidence = recordCrash(evidence, crash);
	}

	return evidence;
};

const isRefused = (evidence: CrashEvidence, traits: readonly RequestTrait[]) =>
	findBlame(evidence, computeStandings(evidence), traits) !== undefined;

/** Ends of instances, 400 ms apart, each under one request. */
const buildSeries = (
	count: number,
	traits: readonly RequestTrait[],
	from = 0,
): Crash[] =>
	Array.from({length: count}, (_, index) =>
		buildCrash(`engine-${from + index}`, from + 400 * index, [
			{request: `request-${from + index}`, traits},
		]),
	);

// Guards against a part that ends one engine after the other.
test('a trait under which three requests ended three instances is to blame, wherever else it stands', () => {
	expect(isRefused(recordCrashes(buildSeries(2, [guilty])), [guilty])).toBe(
		false,
	);
	const evidence = recordCrashes(buildSeries(3, [shared, guilty]));
	expect(isRefused(evidence, [shared, guilty])).toBe(true);
	expect(isRefused(evidence, [topic, guilty, shared])).toBe(true);
	expect(isRefused(evidence, [topic])).toBe(false);
});

test('a sound answer speaks for a trait, and later crashes count anew', () => {
	const crashes = recordCrashes(buildSeries(3, [rare]));
	const cleared = recordSound(crashes, rare, 900);
	expect(isRefused(cleared, [rare])).toBe(false);
	expect(isRefused(recordSound(crashes, rare, 700), [rare])).toBe(false);
	const again = recordCrashes(buildSeries(3, [rare], 2000), cleared);
	expect(isRefused(again, [rare])).toBe(true);
});

// Guards against a part of all prompts that is blamed with the one that is guilty.
test('a trait that comes with the guilty one is not to blame in requests without that one', () => {
	const evidence = recordCrashes(buildSeries(4, [shared, rare, guilty]));
	expect(isRefused(evidence, [shared, rare, guilty])).toBe(true);
	expect(isRefused(evidence, [shared, topic])).toBe(false);
	expect(isRefused(evidence, [shared, rare])).toBe(false);
	const known = recordSound(recordSound(evidence, shared, 3000), rare, 3000);
	expect(isRefused(known, [guilty])).toBe(true);
	expect(isRefused(known, [shared, rare])).toBe(false);
});

// Guards against innocent requests that are blamed when servers end for another reason.
test('instances that end together blame no trait of all requests, as with the loss of a rack', () => {
	const crashes = Array.from({length: 8}, (_, index) =>
		buildCrash(`engine-${index}`, 1000 + index, [
			{request: `a-${index}`, traits: [shared]},
			{request: `b-${index}`, traits: [shared]},
		]),
	);
	const known = recordSound(recordCrashes(crashes.slice(0, 1)), shared, 500);
	const evidence = recordCrashes(crashes, known);
	expect(isRefused(evidence, [shared])).toBe(false);
	expect(isRefused(recordCrashes(crashes.slice(0, 4)), [shared])).toBe(false);
});

test('one crash at each of five gateways is five crashes', () => {
	const crashes = Array.from({length: 5}, (_, index) =>
		buildCrash(`engine-${index}`, 1000 + index, [
			{request: `request-${index}`, traits: [shared, guilty]},
		]),
	);
	expect(isRefused(recordCrashes(crashes), [guilty, shared])).toBe(true);
});

test('a request that saw many crashes is one witness', () => {
	const crashes = Array.from({length: 9}, (_, index) =>
		buildCrash(`engine-${index}`, 400 * index, [
			{request: 'one', traits: [guilty]},
		]),
	);
	expect(isRefused(recordCrashes(crashes), [guilty])).toBe(false);
});

// Guards against a part of all prompts that is blamed with one that was sound too and now ends all engines there are.
test('a part of all prompts is not to blame with one that ends servers since it was sound', () => {
	const turned = [shared, guilty];
	let evidence = recordCrashes(buildSeries(12, turned, 2000));
	evidence = recordSound(evidence, shared, 1000);
	evidence = recordSound(evidence, guilty, 1000);
	// Gateways that did not see the guilty request report what waited there.
	evidence = recordCrashes(
		[1, 2].map((index) =>
			buildCrash(`other-${index}`, 2000 + 400 * index, [
				{request: `waiting-${index}`, traits: [shared, topic]},
			]),
		),
		evidence,
	);
	expect(isRefused(evidence, turned)).toBe(true);
	expect(isRefused(evidence, [shared, topic])).toBe(false);
});

test('a part that was sound is to blame when each further try ends an instance', () => {
	const sound = recordSound(
		recordCrashes(buildSeries(1, [guilty])),
		guilty,
		100,
	);
	const evidence = recordCrashes(buildSeries(3, [guilty], 1000), sound);
	expect(isRefused(evidence, [guilty])).toBe(true);
});

test('requests that waited are no suspects where an answer had begun', () => {
	const waiting = buildCrash(
		'engine-1',
		1000,
		[{request: 'waiting', traits: [rare]}],
		false,
	);
	const begun = buildCrash('engine-1', 1001, [
		{request: 'begun', traits: [guilty]},
	]);
	for (const order of [
		[waiting, begun],
		[begun, waiting],
	]) {
		const [crash] = recordCrashes(order).crashes.values();
		expect([...(crash?.suspects.keys() ?? [])]).toEqual([guilty]);
	}
});

// Guards against repeats that take a crashing request from server to server.
test('the more requests ended servers under a part, the fewer may end under one request before it is given up', () => {
	const own = toRequestTrait('own');
	const traits = {shared: [shared, guilty], forms: [own], own};
	const countEnds = (crashes: number, known = traits) =>
		computeAllowedEnds(
			computeStandings(
				recordSound(
					recordCrashes(buildSeries(crashes, [shared, guilty])),
					shared,
					5000,
				),
			),
			known,
		);
	expect([0, 1, 2, 3].map((crashes) => countEnds(crashes))).toEqual([
		3, 2, 1, 1,
	]);
	expect(countEnds(3, {shared: [shared, topic], forms: [own], own})).toBe(3);
	const standings = computeStandings(
		recordCrashes(buildSeries(1, [shared, guilty])),
	);
	expect(hasSuspectTrait(standings, traits)).toBe(true);
	expect(hasSuspectTrait(standings, {shared: [topic], forms: [own], own})).toBe(
		false,
	);
});

/** Builds the end of an instance under one run of a request with the given forms, from the widest. */
const buildFormCrash = (
	instance: string,
	endedAt: number,
	request: string,
	forms: readonly RequestTrait[],
): Crash => ({
	instance: toInstanceKey(instance),
	endedAt,
	citedAt: endedAt,
	isBegun: false,
	suspects: new Map(
		forms.map((trait, form) => [
			trait,
			{witnesses: [request], sentAt: endedAt - 100, form},
		]),
	),
});

const [wide, narrow, otherNarrow] = ['wide', 'narrow', 'other'].map((name) =>
	toRequestTrait(name),
) as [RequestTrait, RequestTrait, RequestTrait];

// Guards against a client attempt that counts once however many servers end under it.
test('three ends under one client attempt blame its form', () => {
	const crashes = [1, 2, 3].map((count) =>
		buildFormCrash(`server-${count}`, 150 * count, 'one', [narrow]),
	);
	expect(isRefused(recordCrashes(crashes.slice(0, 2)), [narrow])).toBe(false);
	expect(isRefused(recordCrashes(crashes), [narrow])).toBe(true);
});

test('a wide form is to blame only where no narrower one explains the ends', () => {
	const ends = (buildForms: (count: number) => RequestTrait[]) =>
		recordCrashes(
			[1, 2, 3].map((count) =>
				buildFormCrash(
					`server-${count}`,
					400 * count,
					`request-${count}`,
					buildForms(count),
				),
			),
		);
	const same = ends(() => [wide, narrow]);
	expect(isRefused(same, [narrow, wide])).toBe(true);
	expect(isRefused(same, [otherNarrow, wide])).toBe(false);
	const changing = ends((count) => [wide, toRequestTrait(`narrow-${count}`)]);
	expect(isRefused(changing, [otherNarrow, wide])).toBe(true);
	expect(
		isRefused(recordSound(changing, wide, 1300), [otherNarrow, wide]),
	).toBe(false);
});

// Guards against two guilty requests of which each is taken as the cause of the other one's ends.
test('two forms that ran wherever servers ended are both to blame', () => {
	const crashes = [1, 2, 3].map((count) => {
		const [one, other] = [narrow, otherNarrow].map((trait) =>
			buildFormCrash(`server-${count}`, 400 * count, `${trait}`, [trait]),
		);
		return {
			...one!,
			suspects: new Map([...(one?.suspects ?? []), ...(other?.suspects ?? [])]),
		};
	});
	expect(isRefused(recordCrashes(crashes), [narrow])).toBe(true);
	expect(isRefused(recordCrashes(crashes), [otherNarrow])).toBe(true);
});

test('after five ends under a form no request with it is let through', () => {
	const countProbes = (ends: number) => {
		const crashes = Array.from({length: ends}, (_, count) =>
			buildFormCrash(`server-${count}`, 400 * count, `request-${count}`, [
				narrow,
			]),
		);
		const evidence = recordCrashes(crashes);
		const blame = findBlame(evidence, computeStandings(evidence), [narrow]);
		const place = {members: [], self: 'a', computePlace: () => 0};
		return Array.from({length: 600}, (_, second) => second * 1000).filter(
			(now) => blame && isProbeDue(blame, evidence, place, now),
		).length;
	};

	expect(countProbes(4)).toBeGreaterThan(0);
	expect(countProbes(5)).toBe(0);
});

test('crashes that gateways report in any order, twice or in parts give the same verdicts', () => {
	const traits = [shared, guilty, rare, topic];
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					engine: fc.integer({min: 0, max: 7}),
					traits: fc.subarray(traits, {minLength: 1}),
					request: fc.integer({min: 0, max: 9}),
				}),
				{maxLength: 24},
			),
			fc.integer(),
			(runs, seed) => {
				const crashes = runs.map((run) =>
					buildCrash(`engine-${run.engine}`, run.engine * 400, [
						{request: `request-${run.request}`, traits: run.traits},
					]),
				);
				const shuffled = crashes.toSorted(
					(a, b) =>
						(((a.endedAt + 7) * seed) % 13) - (((b.endedAt + 7) * seed) % 13),
				);
				const known = recordCrashes(crashes);
				expect(recordCrashes(crashes, known)).toBe(known);
				for (const trait of traits) {
					expect(isRefused(recordCrashes(shuffled), [trait])).toBe(
						isRefused(known, [trait]),
					);
				}
			},
		),
	);
});

// Guards against an attacker who sends many random parts beside one that crashes engines.
test('many random parts neither drop what is known nor grow it without bound', () => {
	const blocked = recordCrashes(buildSeries(3, [guilty]));
	const cited = recordCitation(blocked, guilty, 1000);
	const evidence = recordCrashes(
		Array.from({length: 500}, (_, index) =>
			buildCrash(`other-${index}`, 2000 + index, [
				{
					request: `random-${index}`,
					traits: Array.from({length: 100}, (_item, part) =>
						toRequestTrait(`random-${index}-${part}`),
					),
				},
			]),
		),
		cited,
	);
	expect(evidence.crashes.size).toBeLessThanOrEqual(64);
	expect(computeStandings(evidence).size).toBeLessThanOrEqual(64 * 96);
	expect(isRefused(evidence, [guilty])).toBe(true);
	expect(isRefused(evidence, [shared, topic])).toBe(false);
});

test('what is known ages, unless requests are still refused for it', () => {
	const evidence = recordCrashes(buildSeries(3, [guilty]));
	expect(removeOldCrashes(evidence, 500_000).crashes.size).toBe(3);
	expect(removeOldCrashes(evidence, 700_000).crashes.size).toBe(0);
	const cited = recordCitation(evidence, guilty, 500_000);
	expect(removeOldCrashes(cited, 700_000).crashes.size).toBe(3);
});

test.each([2, 400])(
	'of %i gateways, at most one at a time lets a request through, and all together two',
	(size) => {
		const members = Array.from(
			{length: size},
			(_, index) => `gateway-${index}`,
		);
		let evidence = recordCrashes(buildSeries(3, [guilty]));
		let probes = 0;
		const computePlace = (text: string) =>
			(Number(text.split(' ').at(-1)) * 0.618) % 1;
		const findAllowed = (known: CrashEvidence, now: number) => {
			const blame = findBlame(known, computeStandings(known), [guilty]);
			return members.filter(
				(self) =>
					blame && isProbeDue(blame, known, {members, self, computePlace}, now),
			);
		};

		for (let now = 1000; now < 600_000; now += 500) {
			const allowed = findAllowed(evidence, now);
			expect(allowed.length).toBeLessThanOrEqual(1);
			if (allowed.length === 1) {
				probes++;
				evidence = recordProbe(evidence, guilty, {count: probes, at: now});
			}
		}

		expect(probes).toBe(2);
	},
);
