/** Steps of the model engine, and their encoding in its HTTP interface. */
import {
	type Attempt,
	createFailure,
	type Failure,
	parseJson,
	type Position,
	positionSchema,
	type StageOpen,
	type StepInput,
	type StepOutput,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';

const outputSchema = z.union([
	z.object({
		sequence: z.string(),
		position: positionSchema,
		values: z.array(z.number()),
		token: z
			.object({id: z.int(), text: z.string(), isEnd: z.boolean()})
			.optional(),
		promptTokens: z.int().optional(),
		cachedTokens: z.int().min(0).optional(),
	}),
	z.object({sequence: z.string(), position: positionSchema, error: z.string()}),
]);

/**
 * Identifies a sequence, the state that the engine keeps for a request: the
 * request and the attempt that created the state.
 */
export type SequenceName = {
	readonly open: StageOpen;
	readonly sequence: Attempt;
};

/** One step that the agent requests from the engine. */
export type EngineStep = SequenceName & {
	readonly position: Position;
	readonly input: StepInput;
};

export type StepResult = Result<StepOutput, Failure>;

/** Formats the name that identifies a sequence at the engine. */
export const formatSequenceName = ({open, sequence}: SequenceName) =>
	`${open.request}.${sequence}`;

/** Formats the key that identifies a step among all steps of an engine. */
export const formatStepKey = (step: EngineStep) =>
	`${formatSequenceName(step)}/${step.position}`;

/** Creates the description of a step for the body of a request to the engine. */
export function createStepBody(step: EngineStep): Record<string, unknown> {
	const {open, position, input} = step;
	const stage = open.stages[open.index];
	return {
		sequence: formatSequenceName(step),
		position,
		fromLayer: stage?.fromLayer,
		toLayer: stage?.toLayer,
		priority: open.priority,
		input,
	};
}

/** Counts the layer-tokens of a step: its layers times its tokens; estimated for a prompt. */
export function countLayerTokens({open, input}: EngineStep): number {
	const stage = open.stages[open.index];
	const layers = stage ? stage.toLayer - stage.fromLayer : 0;
	switch (input.kind) {
		case 'prompt': {
			// A token is a word: at least one letter, followed by a space.
			return layers * (input.prompt.length / 2 + input.given.length + 1);
		}

		case 'token': {
			return layers;
		}

		case 'values': {
			return layers * input.values.length;
		}
	}
}

/**
 * Parses one line of the engine's response into the key of a step and its
 * result; undefined if the line is invalid.
 */
export function parseOutputLine(
	line: string,
): {key: string; result: StepResult} | undefined {
	const parsed = outputSchema.safeParse(parseJson(line));
	if (!parsed.success) {
		return undefined;
	}

	const output = parsed.data;
	return {
		key: `${output.sequence}/${output.position}`,
		result:
			'error' in output
				? err(createFailure('outOfOrder', output.error))
				: ok(output),
	};
}
