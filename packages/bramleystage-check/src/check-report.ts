/** Explores specifications and formats the results, for `npm run check`. */
import type {
	AnySpecification,
	Exploration,
	ModelSize,
} from './specification.js';

export type CheckReport = {
	readonly lines: readonly string[];
	/**
	 * Whether the result is the expected one: no counter-example with all
	 * mechanisms in place, or a counter-example with one omitted.
	 */
	readonly hasPassed: boolean;
};

/** Lists the invariants of all specifications, one per line. */
export function listInvariants(
	specifications: readonly AnySpecification[],
): string[] {
	return specifications.flatMap(({name, invariants}) =>
		invariants.map(
			(invariant) => `${name}/${invariant.name}: ${invariant.description}`,
		),
	);
}

/**
 * Explores one specification with every mechanism in place; no invariant may be
 * violated.
 */
export function checkSpecification(
	specification: AnySpecification,
	size: ModelSize,
): CheckReport {
	const explorations = specification.explore(size, undefined);
	const hasPassed = explorations.every(
		({isExhaustive, counterExample}) => isExhaustive && !counterExample,
	);
	const states = explorations.reduce((sum, each) => sum + each.states, 0);
	const invariantNames = specification.invariants
		.map(({name}) => name)
		.join(' ');
	const lines = [
		...explorations.flatMap((each) =>
			formatExploration(specification.name, each),
		),
		`specification=${specification.name} states=${states} ` +
			(hasPassed ? `held="${invariantNames}"` : 'result=failed'),
	];
	return {lines, hasPassed};
}

/**
 * Explores the specifications that have an invariant, given as `name` or
 * `specification/name`, with the mechanism behind it omitted. Each must find a
 * counter-example.
 */
export function checkWithoutMechanism(
	specifications: readonly AnySpecification[],
	invariant: string,
	size: ModelSize,
): CheckReport {
	const owners = specifications.filter(({name, invariants}) =>
		invariants.some(
			(each) => each.name === invariant || `${name}/${each.name}` === invariant,
		),
	);
	if (owners.length === 0) {
		return {
			lines: [`There is no invariant ${invariant}; --list prints their names.`],
			hasPassed: false,
		};
	}

	const reports = owners.map((owner): CheckReport => {
		const explorations = owner.explore(
			size,
			invariant.replace(`${owner.name}/`, ''),
		);
		const isViolationFound = explorations.some(
			({counterExample}) => counterExample,
		);
		return {
			lines: [
				...explorations.flatMap((each) => formatExploration(owner.name, each)),
				`specification=${owner.name} left_out=${invariant} caught=${isViolationFound}`,
			],
			hasPassed: isViolationFound,
		};
	});
	return {
		lines: reports.flatMap(({lines}) => lines),
		hasPassed: reports.every(({hasPassed}) => hasPassed),
	};
}

function formatExploration(
	specification: string,
	{model, states, depth, isExhaustive, counterExample}: Exploration,
): string[] {
	const head =
		`specification=${specification} model="${model}" states=${states} ` +
		`depth=${depth} exhaustive=${isExhaustive}`;
	if (!counterExample) {
		return [head];
	}

	const {invariant, trace, state} = counterExample;
	return [
		head,
		`invariant "${invariant}" is violated after ${trace.length - 1} steps:`,
		...trace.slice(1).map((label, index) => `${index + 1}. ${label}`),
		`state: ${state}`,
	];
}
