/**
 * Types of decision functions: pure functions of a state, an event and the
 * current time that return the next state and the commands for the daemon to
 * execute. They access no clock, socket or random source unless it is passed in,
 * so that daemons, tests under virtual time and the model checker run the same
 * code.
 */

/** A time on the caller's steady clock, or a duration, in milliseconds. */
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
