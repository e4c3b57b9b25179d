/** Steps of the model engine as its HTTP interface has them. */
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
	}),
	z.object({sequence: z.string(), position: positionSchema, error: z.string()}),
]);

/** Names a sequence: a request, and the attempt that opened its state. */
export type SequenceName = {
	readonly open: StageOpen;
	readonly sequence: Attempt;
};

/** One step as the agent asks for it. */
export type EngineStep = SequenceName & {
	readonly position: Position;
	readonly input: StepInput;
};

export type StepResult = Result<StepOutput, Failure>;

/** Formats the name of a sequence at the engine. */
export const formatSequence = ({open, sequence}: SequenceName) =>
	`${open.request}.${sequence}`;

/** Names a step among all steps of an engine. */
export const formatStepKey = (step: EngineStep) =>
	`${formatSequence(step)}/${step.position}`;

/** Describes a step for the body of the engine's request. */
export function describeStep(step: EngineStep): Record<string, unknown> {
	const {open, position, input} = step;
	const stage = open.stages[open.index];
	return {
		sequence: formatSequence(step),
		position,
		fromLayer: stage?.fromLayer,
		toLayer: stage?.toLayer,
		priority: open.priority,
		input,
	};
}

/** Counts the layer-tokens of a step. */
export function countLayerTokens({open, input}: EngineStep): number {
	const stage = open.stages[open.index];
	const layers = stage ? stage.toLayer - stage.fromLayer : 0;
	switch (input.kind) {
		case 'prompt': {
			// A word has at least one letter and a space after it.
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

/** Parses one line of the engine's answer: which step, and what it gave. */
export function parseOutput(
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
