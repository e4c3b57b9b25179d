/**
 * Explores a model breadth first, so the trace to the first state that violates
 * an invariant is a shortest one. States are identified by a digest of their
 * canonical text. To bound memory, only the digest, the parent and the step
 * label are kept for every visited state; complete states are kept for the
 * current and the next depth only.
 */
import {createHash} from 'node:crypto';
import type {
	AnySpecification,
	CounterExample,
	Exploration,
	Model,
	Invariant,
	Specification,
} from './specification.js';

/**
 * Limit on visited states, so that exploring an accidentally infinite model
 * terminates.
 */
const maxVisitedStates = 3_000_000;

const noParent = -1;

/**
 * Explores all reachable states of a model and stops at the first that violates
 * an invariant.
 */
export function exploreModel<State>(
	model: Model<State>,
	invariants: ReadonlyArray<Invariant<State>>,
	maxVisited = maxVisitedStates,
): Exploration {
	const visited = new Set<string>();
	const parents: number[] = [];
	const labels: string[] = [];
	let current: Array<{id: number; state: State}> = [];
	let next: typeof current = [];
	let depth = 0;

	const add = (
		state: State,
		label: string,
		parent: number,
	): CounterExample | undefined => {
		const digest = computeDigest(model.encodeState(state));
		if (visited.has(digest)) {
			return undefined;
		}

		visited.add(digest);
		const id = parents.push(parent) - 1;
		labels.push(label);
		next.push({id, state});
		const violated = invariants.find((invariant) => !invariant.holds(state));
		return violated
			? {
					invariant: violated.name,
					trace: listTrace(parents, labels, id),
					state: model.encodeState(state),
				}
			: undefined;
	};

	const finish = (
		isExhaustive: boolean,
		counterExample?: CounterExample,
	): Exploration => ({
		model: model.name,
		states: visited.size,
		depth,
		isExhaustive,
		counterExample,
	});

	const initialViolation = add(model.initial, 'initial', noParent);
	if (initialViolation) {
		return finish(false, initialViolation);
	}

	while (next.length > 0) {
		[current, next] = [next, []];
		for (const {id, state} of current) {
			for (const step of model.listSteps(state)) {
				const counterExample = add(step.next, step.label, id);
				if (counterExample ?? visited.size >= maxVisited) {
					return finish(false, counterExample);
				}
			}
		}

		depth += next.length > 0 ? 1 : 0;
	}

	return finish(true);
}

/**
 * Hides the state type of a specification, so that one list holds all
 * specifications.
 */
export function createExplorer<State>(
	specification: Specification<State>,
): AnySpecification {
	const {name, description, invariants, createModels} = specification;
	return {
		name,
		description,
		invariants,
		explore(size, omitted) {
			const explorations: Exploration[] = [];
			for (const model of createModels(size, omitted)) {
				const exploration = exploreModel(model, invariants);
				explorations.push(exploration);
				if (exploration.counterExample) {
					break;
				}
			}

			return explorations;
		},
	};
}

function computeDigest(text: string): string {
	return createHash('sha1').update(text).digest('base64');
}

function listTrace(
	parents: readonly number[],
	labels: readonly string[],
	last: number,
): string[] {
	const trace: string[] = [];
	let id = last;
	while (id !== noParent) {
		trace.unshift(labels[id] ?? '');
		id = parents[id] ?? noParent;
	}

	return trace;
}
