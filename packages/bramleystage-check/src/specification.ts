/**
 * Types of the model checker. A specification consists of models, whose steps
 * run the exported decision functions themselves, and of invariants, which every
 * reachable state must satisfy. Each invariant depends on a mechanism of the
 * decisions that can be omitted; the exploration must then find a
 * counter-example, which shows that the invariant is effective.
 */

/** One step from a state: a description of what happens, and the next state. */
export type Step<State> = {
	readonly label: string;
	readonly next: State;
};

/** A condition that must hold in every reachable state. */
export type Invariant<State> = {
	/** Name of the invariant, as `--break` takes it. */
	readonly name: string;
	readonly description: string;
	readonly holds: (state: State) => boolean;
};

/**
 * A state in which steps record the names of the transition invariants that
 * they violate.
 */
export type ViolationState = {readonly broken: readonly string[]};

/**
 * Creates an invariant about steps, which holds while no step has recorded a
 * violation.
 */
export const createTransitionInvariant = <State extends ViolationState>(
	name: string,
	description: string,
): Invariant<State> => ({
	name,
	description,
	holds: ({broken}) => !broken.includes(name),
});

/** Records that a step violated a transition invariant. */
export const recordViolation = <State extends ViolationState>(
	state: State,
	invariant: string,
): State => ({...state, broken: [...new Set([...state.broken, invariant])]});

/** A finite system to explore, with fixed bounds. */
export type Model<State> = {
	/** Describes the bounds. */
	readonly name: string;
	readonly initial: State;
	/** Lists every step that is possible in a state; must not modify the state. */
	readonly listSteps: (state: State) => ReadonlyArray<Step<State>>;
	/**
	 * Returns the canonical text of a state; two states with the same text
	 * count as one.
	 */
	readonly encodeState: (state: State) => string;
};

/** Bounds of the models: `small` for tests, `full` for `npm run check`. */
export type ModelSize = 'small' | 'full';

export type Specification<State> = {
	readonly name: string;
	readonly description: string;
	readonly invariants: ReadonlyArray<Invariant<State>>;
	/**
	 * Creates the models to explore, without the mechanism behind the omitted
	 * invariant if one is named.
	 */
	readonly createModels: (
		size: ModelSize,
		omitted: string | undefined,
	) => ReadonlyArray<Model<State>>;
};

/** A specification whose state type is hidden from its users. */
export type AnySpecification = {
	readonly name: string;
	readonly description: string;
	readonly invariants: ReadonlyArray<
		Pick<Invariant<unknown>, 'name' | 'description'>
	>;
	readonly explore: (
		size: ModelSize,
		omitted: string | undefined,
	) => readonly Exploration[];
};

/** A violated invariant, with a shortest trace to a state that violates it. */
export type CounterExample = {
	readonly invariant: string;
	readonly trace: readonly string[];
	/** Canonical text of the state that violates the invariant. */
	readonly state: string;
};

/** The result of exploring one model. */
export type Exploration = {
	readonly model: string;
	readonly states: number;
	/** Largest distance from the initial state, in steps, of any visited state. */
	readonly depth: number;
	/** Whether every reachable state was visited. */
	readonly isExhaustive: boolean;
	readonly counterExample: CounterExample | undefined;
};
