/** Runs specifications and formats what was found, for `npm run check`. */
import type {
	AnySpecification,
	Exploration,
	ModelSize,
} from './specification.js';

export type CheckReport = {
	readonly lines: readonly string[];
	/** Whether the check found what it should: no counter-example, or one for a rule left out. */
	readonly isRight: boolean;
};

/** Lists the rules of all specifications, a line each. */
export function listRules(
	specifications: readonly AnySpecification[],
): string[] {
	return specifications.flatMap(({name, rules}) =>
		rules.map((rule) => `${name}/${rule.name}: ${rule.description}`),
	);
}

/** Explores one specification with every mechanism in place. */
export function checkSpecification(
	specification: AnySpecification,
	size: ModelSize,
): CheckReport {
	const found = specification.explore(size, undefined);
	const isRight = found.every(
		({isExhaustive, counterExample}) => isExhaustive && !counterExample,
	);
	const states = found.reduce((sum, each) => sum + each.states, 0);
	const rules = specification.rules.map(({name}) => name).join(' ');
	const lines = [
		...found.flatMap((each) => formatExploration(specification.name, each)),
		`specification=${specification.name} states=${states} ` +
			(isRight ? `held="${rules}"` : 'result=failed'),
	];
	return {lines, isRight};
}

/** Explores the specifications that have a rule, with its mechanism left out. */
export function checkBrokenRule(
	specifications: readonly AnySpecification[],
	rule: string,
	size: ModelSize,
): CheckReport {
	const owners = specifications.filter(({name, rules}) =>
		rules.some((each) => each.name === rule || `${name}/${each.name}` === rule),
	);
	if (owners.length === 0) {
		return {lines: [`No rule ${rule}; --list names them.`], isRight: false};
	}

	const reports = owners.map((owner): CheckReport => {
		const found = owner.explore(size, rule.replace(`${owner.name}/`, ''));
		const isCaught = found.some(({counterExample}) => counterExample);
		return {
			lines: [
				...found.flatMap((each) => formatExploration(owner.name, each)),
				`specification=${owner.name} left_out=${rule} caught=${isCaught}`,
			],
			isRight: isCaught,
		};
	});
	return {
		lines: reports.flatMap(({lines}) => lines),
		isRight: reports.every(({isRight}) => isRight),
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

	const {rule, trace, state} = counterExample;
	return [
		head,
		`rule "${rule}" does not hold after ${trace.length - 1} steps:`,
		...trace.slice(1).map((label, index) => `${index + 1}. ${label}`),
		`state: ${state}`,
	];
}
