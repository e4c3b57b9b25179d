/**
 * What a specification is: a system of states and steps whose transitions are
 * the exported decisions themselves, and the rules that every reachable state
 * must keep. Each rule names a mechanism of the decisions that can be left out,
 * and then the rules must fail.
 */

/** One step from a state: what happened, and the state after it. */
export type Step<State> = {
	readonly label: string;
	readonly next: State;
};

/** A condition that holds in every reachable state. */
export type Rule<State> = {
	/** Name of the rule, as `--break` takes it. */
	readonly name: string;
	readonly description: string;
	readonly holds: (state: State) => boolean;
};

/** A state in which the steps themselves note the rules that they broke. */
export type NotingState = {readonly broken: readonly string[]};

/** A rule that the steps note when they break it. */
export const createStepRule = <State extends NotingState>(
	name: string,
	description: string,
): Rule<State> => ({
	name,
	description,
	holds: ({broken}) => !broken.includes(name),
});

/** Notes that a step broke a rule. */
export const addBroken = <State extends NotingState>(
	state: State,
	rule: string,
): State => ({...state, broken: [...new Set([...state.broken, rule])]});

/** A system to explore, of stated sizes. */
export type Model<State> = {
	/** Says what the sizes are. */
	readonly name: string;
	readonly initial: State;
	/** All steps that may come next; must not change the state it is given. */
	readonly listSteps: (state: State) => ReadonlyArray<Step<State>>;
	/** Two states with the same text are the same state. */
	readonly encodeState: (state: State) => string;
};

/** `small` is for tests, `full` for `npm run check`. */
export type ModelSize = 'small' | 'full';

export type Specification<State> = {
	readonly name: string;
	readonly description: string;
	readonly rules: ReadonlyArray<Rule<State>>;
	/**
	 * Builds the models to explore, with the mechanism of one rule left out if
	 * one is named.
	 */
	readonly createModels: (
		size: ModelSize,
		broken: string | undefined,
	) => ReadonlyArray<Model<State>>;
};

/** A specification whose kind of state its reader need not know. */
export type AnySpecification = {
	readonly name: string;
	readonly description: string;
	readonly rules: ReadonlyArray<Pick<Rule<unknown>, 'name' | 'description'>>;
	readonly explore: (
		size: ModelSize,
		broken: string | undefined,
	) => readonly Exploration[];
};

/** A rule that does not hold, with a shortest way to a state that breaks it. */
export type CounterExample = {
	readonly rule: string;
	readonly trace: readonly string[];
	/** The state that breaks the rule, as text. */
	readonly state: string;
};

/** What the exploration of one model found. */
export type Exploration = {
	readonly model: string;
	readonly states: number;
	/** Steps of the longest of the shortest ways to a state. */
	readonly depth: number;
	/** Whether every reachable state was visited. */
	readonly isExhaustive: boolean;
	readonly counterExample: CounterExample | undefined;
};
