/** Public interface of the model checker and its specifications. */
export {
	checkWithoutMechanism,
	type CheckReport,
	checkSpecification,
	listInvariants,
} from './check-report.js';
export {createExplorer, exploreModel} from './explorer.js';
export {
	type AnySpecification,
	type CounterExample,
	type Exploration,
	type Model,
	type ModelSize,
	type Invariant,
	type Specification,
	type Step,
} from './specification.js';
export {specifications} from './specifications.js';
