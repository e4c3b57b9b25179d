/** Model checks and history checks, as functions. */
export {
	checkBrokenRule,
	type CheckReport,
	checkSpecification,
	listRules,
} from './check-report.js';
export {createExplorer, exploreModel} from './explorer.js';
export {
	type AnySpecification,
	type CounterExample,
	type Exploration,
	type Model,
	type ModelSize,
	type Rule,
	type Specification,
	type Step,
} from './specification.js';
export {specifications} from './specifications.js';
