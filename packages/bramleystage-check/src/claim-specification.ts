/**
 * Claims of idempotency keys: the agents' fold of the log's stream and their
 * ledgers, with appends that are lost, late or made twice, releases, and
 * replaced agents.
 */
import {decideCall, decideClaim} from 'bramleystage';
import {
	type ClaimSizes,
	type ClaimState,
	createClaimState,
	formatClaimState,
} from './claim-state.js';
import {listClaimSteps} from './claim-log-steps.js';
import {type ClaimMechanisms, wholeClaimMechanisms} from './claim-steps.js';
import type {Model, ModelSize, Specification} from './specification.js';

const omissions: Readonly<Record<string, Partial<ClaimMechanisms>>> = {
	// Any claim of the key counts as the first.
	'key-runs-once': {
		decideClaim: (claim, _owner, end) => decideClaim(claim, claim, end),
	},
	// A claim that shows after it was given up starts its call.
	'refused-claim-never-runs': {
		decideCall: (record, event, now, context) =>
			decideCall(
				event.type === 'claimRefused' && record?.phase === 'claiming'
					? {...record, phase: 'queued'}
					: record,
				event,
				now,
				context,
			),
	},
	// A release frees the key whoever owns it.
	'release-frees-own-claim': {
		readReleases({released}, book) {
			const owner = book.findOwner('k', 0);
			return owner && released.length > 0 ? [owner] : released;
		},
	},
	// Requests are not told apart by their digests.
	'reused-key-refused': {
		decideClaim: (claim, owner, end) =>
			decideClaim({...claim, digest: owner.digest}, owner, end),
	},
};

const smallSizes: readonly ClaimSizes[] = [
	{
		name: 'two requests, one agent',
		agents: 1,
		digests: ['a', 'b'],
		faults: {losses: 0, replacements: 0, secondAppends: 0},
	},
	{
		name: 'three requests, one agent',
		agents: 1,
		digests: ['a', 'a', 'a'],
		faults: {losses: 0, replacements: 0, secondAppends: 0},
	},
	{
		name: 'two requests, two agents',
		agents: 2,
		digests: ['a', 'a'],
		faults: {losses: 0, replacements: 0, secondAppends: 0},
	},
];

const fullSizes: readonly ClaimSizes[] = [
	...smallSizes,
	{
		name: 'two requests, one agent, a second append',
		agents: 1,
		digests: ['a', 'a'],
		faults: {losses: 0, replacements: 0, secondAppends: 1},
	},
	{
		name: 'two requests, one agent, replacement',
		agents: 1,
		digests: ['a', 'a'],
		faults: {losses: 0, replacements: 1, secondAppends: 0},
	},
];

function createModels(
	size: ModelSize,
	broken: string | undefined,
): ReadonlyArray<Model<ClaimState>> {
	const mechanisms: ClaimMechanisms = {
		...wholeClaimMechanisms,
		...(broken === undefined ? {} : omissions[broken]),
	};
	return (size === 'small' ? smallSizes : fullSizes).map((sizes) => ({
		name: sizes.name,
		initial: createClaimState(sizes),
		listSteps: (state) => listClaimSteps(mechanisms, sizes.digests, state),
		encodeState: formatClaimState,
	}));
}

export const claimSpecification: Specification<ClaimState> = {
	name: 'claim',
	description: 'Claims of idempotency keys.',
	rules: [
		{
			name: 'key-runs-once',
			description: 'Of all requests with one key at most one runs.',
			holds: ({runs}) => runs.reduce((sum, each) => sum + each, 0) <= 1,
		},
		{
			name: 'refused-claim-never-runs',
			description: 'A request that was told not-run never runs.',
			holds: ({broken}) => !broken.includes('refused-claim-never-runs'),
		},
		{
			name: 'release-frees-own-claim',
			description: 'A release frees a key only from the claim that it names.',
			holds: ({runs}) => runs.reduce((sum, each) => sum + each, 0) <= 1,
		},
		{
			name: 'reused-key-refused',
			description: 'A request gets no answer of another one with its key.',
			holds: ({broken}) => !broken.includes('reused-key-refused'),
		},
	],
	createModels,
};
