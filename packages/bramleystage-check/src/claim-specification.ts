/**
 * Specification of idempotency keys: agents claim a key in the log's stream of
 * claims, fold that stream, and keep call ledgers. Covers appends that are lost,
 * delayed or made twice, releases of claims, and replaced agents.
 */
import {decideCall, decideClaim} from 'bramleystage';
import {
	type ClaimModelOptions,
	type ClaimState,
	createClaimState,
	formatClaimState,
} from './claim-state.js';
import {listClaimSteps} from './claim-log-steps.js';
import {type ClaimMechanisms, defaultClaimMechanisms} from './claim-steps.js';
import type {Model, ModelSize, Specification} from './specification.js';

/**
 * Overrides that disable the mechanism behind an invariant, by the invariant's
 * name.
 */
const omissions: Readonly<Record<string, Partial<ClaimMechanisms>>> = {
	// Treats every claim as the owner of its key.
	'key-runs-once': {
		decideClaim: (claim, _owner, end) => decideClaim(claim, claim, end),
	},
	// Keeps a call queued when its claim is refused, so that it still runs.
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
	// A release frees the key regardless of its owner.
	'release-frees-own-claim': {
		readReleases({released}, registry) {
			const owner = registry.findOwner('k', 0);
			return owner && released.length > 0 ? [owner] : released;
		},
	},
	// Ignores the difference between the digests of two requests.
	'reused-key-refused': {
		decideClaim: (claim, owner, end) =>
			decideClaim({...claim, digest: owner.digest}, owner, end),
	},
};

const smallModels: readonly ClaimModelOptions[] = [
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

const fullModels: readonly ClaimModelOptions[] = [
	...smallModels,
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
	omitted: string | undefined,
): ReadonlyArray<Model<ClaimState>> {
	const mechanisms: ClaimMechanisms = {
		...defaultClaimMechanisms,
		...(omitted === undefined ? {} : omissions[omitted]),
	};
	return (size === 'small' ? smallModels : fullModels).map((options) => ({
		name: options.name,
		initial: createClaimState(options),
		listSteps: (state) => listClaimSteps(mechanisms, options.digests, state),
		encodeState: formatClaimState,
	}));
}

export const claimSpecification: Specification<ClaimState> = {
	name: 'claim',
	description: 'Claims of idempotency keys.',
	invariants: [
		{
			name: 'key-runs-once',
			description: 'At most one of the requests with the same key runs.',
			holds: ({runs}) => runs.reduce((sum, each) => sum + each, 0) <= 1,
		},
		{
			name: 'refused-claim-never-runs',
			description: 'A request whose caller received not-run never runs.',
			holds: ({broken}) => !broken.includes('refused-claim-never-runs'),
		},
		{
			name: 'release-frees-own-claim',
			description: 'A release frees a key only from the claim that it names.',
			holds: ({runs}) => runs.reduce((sum, each) => sum + each, 0) <= 1,
		},
		{
			name: 'reused-key-refused',
			description:
				'A request never receives the answer to a different request with its key.',
			holds: ({broken}) => !broken.includes('reused-key-refused'),
		},
	],
	createModels,
};
