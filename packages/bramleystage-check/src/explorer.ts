/**
 * Explores a model breadth first, so the first state that breaks a rule is
 * reached by a shortest trace. States are told apart by a digest of their
 * canonical text; only the digests, the parents and the step labels of visited
 * states are kept, and whole states of the present and next depth.
 */
import {createHash} from 'node:crypto';
import type {
	AnySpecification,
	CounterExample,
	Exploration,
	Model,
	Rule,
	Specification,
} from './specification.js';

/** States visited at most, so that a mistake in a model ends. */
const maxStates = 3_000_000;

const noParent = -1;

/** Explores all states of a model, up to the first that breaks a rule. */
export function exploreModel<State>(
	model: Model<State>,
	rules: ReadonlyArray<Rule<State>>,
	limit = maxStates,
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
		const broken = rules.find((rule) => !rule.holds(state));
		return broken
			? {
					rule: broken.name,
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

	const first = add(model.initial, 'initial', noParent);
	if (first) {
		return finish(false, first);
	}

	while (next.length > 0) {
		[current, next] = [next, []];
		for (const {id, state} of current) {
			for (const step of model.listSteps(state)) {
				const found = add(step.next, step.label, id);
				if (found ?? visited.size >= limit) {
					return finish(false, found);
				}
			}
		}

		depth += next.length > 0 ? 1 : 0;
	}

	return finish(true);
}

/** Hides the kind of state, so that specifications fit in one list. */
export function createExplorer<State>(
	specification: Specification<State>,
): AnySpecification {
	const {name, description, rules, createModels} = specification;
	return {
		name,
		description,
		rules,
		explore(size, broken) {
			const found: Exploration[] = [];
			for (const model of createModels(size, broken)) {
				const exploration = exploreModel(model, rules);
				found.push(exploration);
				if (exploration.counterExample) {
					break;
				}
			}

			return found;
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
