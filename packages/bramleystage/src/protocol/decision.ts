/**
 * The shape of every decision of the system: a pure function of a state, an
 * event and the present time that gives the next state and the commands for a
 * daemon to carry out. Decisions read no clock, socket or random source that
 * was not passed in, so the daemons, the tests under virtual time and the model
 * check all run the same ones.
 */

/** Present time on the caller's monotonic clock, in milliseconds. */
export type Milliseconds = number;

export type Decision<State, Command> = readonly [
	state: State,
	commands: readonly Command[],
];

export type Decide<State, Event, Command> = (
	state: State,
	event: Event,
	now: Milliseconds,
) => Decision<State, Command>;
