/** Steps of requests and agents in the idempotency key model. */
import {
	type CallCommand,
	type CallEvent,
	ClaimRegistry,
	type ClaimRecord,
	createFailure,
	decideCall,
	decideClaim,
	toIncarnation,
	toRequestId,
} from 'bramleystage';
import {
	addClaim,
	type ClaimAgent,
	type ClaimState,
	createClaim,
	createClaimAgent,
	createClaimCall,
	recordViolation,
	recordRun,
	updateAgent,
	updateRequest,
} from './claim-state.js';
import type {Step} from './specification.js';

/**
 * The production decisions that the model runs; a check replaces one of them to
 * disable it.
 */
export type ClaimMechanisms = {
	readonly decideCall: typeof decideCall;
	readonly decideClaim: typeof decideClaim;
	/** Returns the claims that an agent releases when it folds a record. */
	readonly readReleases: (
		record: ClaimRecord,
		registry: ClaimRegistry,
	) => ClaimRecord['released'];
};

export const defaultClaimMechanisms: ClaimMechanisms = {
	decideCall,
	decideClaim,
	readReleases: ({released}) => released,
};

export type ClaimStep = Step<ClaimState>;

/** Lists the possible steps of requests and agents. */
export class ClaimTransitions {
	constructor(
		private readonly mechanisms: ClaimMechanisms,
		private readonly digests: readonly string[],
	) {}

	listRequestSteps(state: ClaimState, request: number): ClaimStep[] {
		const {agent, record, isPending, appends} = state.requests[request]!;
		const name = `r${request}`;
		if (agent === undefined) {
			return state.agents.map(({incarnation}, at) => {
				const assigned = updateRequest(state, request, {agent: at});
				const call = createClaimCall(request, incarnation);
				const next = this.#handleCallEvent(assigned, request, {
					type: 'received',
					call,
				});
				return {label: `${name} arrives at h${at}`, next};
			});
		}

		const steps: ClaimStep[] = [];
		const add = (label: string, next: ClaimState) => {
			steps.push({label: `${name} ${label}`, next});
		};

		const canAppendAgain = appends === 1 && state.faults.secondAppends > 0;
		if (isPending && (appends === 0 || canAppendAgain)) {
			add('sends its claim to the log', this.#appendClaim(state, request));
		}

		if (isPending) {
			const failure = createFailure('claimUnavailable', '');
			const abandoned = this.#abandonClaim(state, request);
			const event: CallEvent = {type: 'claimRefused', failure};
			add(
				'abandons its claim',
				this.#handleCallEvent(abandoned, request, event),
			);
		}

		if (record?.phase === 'queued') {
			add('starts', this.#handleCallEvent(state, request, {type: 'scheduled'}));
		}

		if (record?.phase === 'running') {
			const failure = createFailure('backendRefused', '');
			const answer = {
				type: 'callAnswer',
				request: toRequestId(name),
				status: 200,
				headers: [],
				body: new Uint8Array(),
			} as const;
			const ran = recordRun(state, request);
			add(
				'runs and is answered',
				this.#handleCallEvent(ran, request, {
					type: 'answered',
					answer: {...answer, headers: []},
				}),
			);
			add(
				'is refused by the backend server',
				this.#handleCallEvent(state, request, {type: 'failed', failure}),
			);
		}

		return steps;
	}

	listAgentSteps(state: ClaimState, agentIndex: number): ClaimStep[] {
		const agent = state.agents[agentIndex]!;
		const steps: ClaimStep[] = [];
		const [release, ...releases] = agent.releases;
		if (release) {
			const record: ClaimRecord = {
				kind: 'claims',
				format: 1,
				claims: [],
				released: [release],
			};
			const next = updateAgent(state, agentIndex, {releases});
			steps.push({
				label: `h${agentIndex} releases the claim of ${release.request}`,
				next: {...next, sent: [...state.sent, record]},
			});
		}

		if (agent.folded < state.log.length) {
			const next = updateAgent(state, agentIndex, {folded: agent.folded + 1});
			steps.push({
				label: `h${agentIndex} folds a record`,
				next: this.#settlePendingClaims(next, agentIndex),
			});
		}

		if (state.faults.replacements > 0) {
			steps.push(...this.#listReplacementSteps(state, agentIndex));
		}

		return steps;
	}

	/**
	 * Replaces an agent; each call that its backend server was running may or
	 * may not run.
	 */
	#listReplacementSteps(state: ClaimState, agentIndex: number): ClaimStep[] {
		const replacements = state.faults.replacements - 1;
		let next: ClaimState = {
			...updateAgent(
				state,
				agentIndex,
				createClaimAgent(state.agents[agentIndex]!.incarnation + 1),
			),
			faults: {...state.faults, replacements},
		};
		let ran = next;
		for (const [request, {agent, record}] of state.requests.entries()) {
			if (agent === agentIndex) {
				const lostRequest = {record: undefined, isPending: false, appends: 2};
				next = updateRequest(next, request, lostRequest);
				ran = updateRequest(ran, request, lostRequest);
				ran = record?.phase === 'running' ? recordRun(ran, request) : ran;
			}
		}

		return [
			{label: `h${agentIndex} is replaced`, next},
			{label: `h${agentIndex} is replaced, its calls run`, next: ran},
		];
	}

	#appendClaim(state: ClaimState, request: number): ClaimState {
		const {appends} = state.requests[request]!;
		const record: ClaimRecord = {
			kind: 'claims',
			format: 1,
			claims: [createClaim(state, request, this.digests[request]!)],
			released: [],
		};
		const spentAppends = appends === 0 ? 0 : 1;
		const secondAppends = state.faults.secondAppends - spentAppends;
		const next = updateRequest(state, request, {appends: appends + 1});
		return {
			...next,
			faults: {...state.faults, secondAppends},
			sent: [...state.sent, record],
		};
	}

	#abandonClaim(state: ClaimState, request: number): ClaimState {
		const {appends} = state.requests[request]!;
		const next = updateRequest(state, request, {isPending: false});
		return appends > 0 ? this.#queueRelease(next, request) : next;
	}

	#queueRelease(state: ClaimState, request: number): ClaimState {
		const agentIndex = state.requests[request]!.agent!;
		const claim = createClaim(state, request, this.digests[request]!);
		const releases = addClaim(state.agents[agentIndex]!.releases, claim);
		return updateAgent(state, agentIndex, {releases});
	}

	/** Settles the pending claims of an agent by the key owner that it knows. */
	#settlePendingClaims(state: ClaimState, agentIndex: number): ClaimState {
		let next = state;
		for (const [request, {agent, isPending}] of state.requests.entries()) {
			if (agent === agentIndex && isPending) {
				next = this.#settleClaim(next, request);
			}
		}

		return next;
	}

	#settleClaim(state: ClaimState, request: number): ClaimState {
		const agentIndex = state.requests[request]!.agent!;
		const owner = this.#findKeyOwner(state, state.agents[agentIndex]!);
		if (!owner) {
			return state;
		}

		const claim = createClaim(state, request, this.digests[request]!);
		const {end, incarnation} = state.agents[agentIndex]!;
		const decision = this.mechanisms.decideClaim(claim, owner, end);
		const settled = updateRequest(state, request, {isPending: false});
		if (decision.type === 'claimed') {
			const call = createClaimCall(request, incarnation);
			return this.#handleCallEvent(settled, request, {type: 'claimed', call});
		}

		if (decision.type === 'refused') {
			const {failure} = decision;
			return this.#handleCallEvent(settled, request, {
				type: 'claimRefused',
				failure,
			});
		}

		const {answer} = decision;
		const isOtherRequest = owner.digest !== this.digests[request];
		return this.#handleCallEvent(
			isOtherRequest ? recordViolation(settled, 'reused-key-refused') : settled,
			request,
			{type: 'claimAnswered', answer},
		);
	}

	#findKeyOwner({log}: ClaimState, {folded}: ClaimAgent) {
		const registry = new ClaimRegistry();
		for (const record of log.slice(0, folded)) {
			const released = this.mechanisms.readReleases(record, registry);
			registry.fold({...record, released}, 0);
		}

		return registry.findOwner('k', 0);
	}

	#handleCallEvent(
		state: ClaimState,
		request: number,
		event: CallEvent,
	): ClaimState {
		const {agent, record, wasRefused} = state.requests[request]!;
		const {incarnation} = state.agents[agent!]!;
		const [nextRecord, commands] = this.mechanisms.decideCall(
			record,
			event,
			0,
			{
				incarnation: toIncarnation(`i${incarnation}`),
				leaving: false,
				queueFull: false,
			},
		);
		const isRefused =
			nextRecord?.phase === 'failed' &&
			nextRecord.failure.outcome === 'not-run';
		let next = updateRequest(state, request, {
			record: nextRecord,
			wasRefused: wasRefused || isRefused,
		});
		for (const command of commands) {
			next = this.#carryOutCommand(next, request, command);
		}

		return next;
	}

	#carryOutCommand(
		state: ClaimState,
		request: number,
		command: CallCommand,
	): ClaimState {
		switch (command.type) {
			case 'claim': {
				const next = updateRequest(state, request, {isPending: true});
				return this.#settleClaim(next, request);
			}

			case 'releaseClaim': {
				return this.#queueRelease(state, request);
			}

			case 'recordClaimEnd': {
				const agentIndex = state.requests[request]!.agent!;
				return updateAgent(state, agentIndex, {end: command.end});
			}

			default: {
				return state;
			}
		}
	}
}
