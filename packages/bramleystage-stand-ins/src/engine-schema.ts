/** Schemas of the request and response bodies of the engine stand-in. */
import * as z from 'zod';

export const stepSchema = z.object({
	sequence: z.string(),
	position: z.int().min(0),
	fromLayer: z.int(),
	toLayer: z.int(),
	/** Steps with a higher priority are batched first. */
	priority: z.int().default(0),
	input: z.discriminatedUnion('kind', [
		z.object({
			kind: z.literal('prompt'),
			prompt: z.string(),
			given: z.array(z.int()),
		}),
		z.object({kind: z.literal('token'), token: z.int()}),
		z.object({kind: z.literal('values'), values: z.array(z.number())}),
	]),
});
export type Step = z.infer<typeof stepSchema>;

export const stepsSchema = z.object({steps: z.array(stepSchema)});

/** Output of a step; `error` replaces values and token if the step was not run. */
export type StepOutput = {
	readonly sequence: string;
	readonly position: number;
	readonly values?: readonly number[];
	readonly token?: {
		readonly id: number;
		readonly text: string;
		readonly isEnd: boolean;
	};
	readonly promptTokens?: number;
	/** Prompt tokens that the prefix cache spared the engine from computing. */
	readonly cachedTokens?: number;
	readonly error?: string;
};

/** KV cache of a sequence in its export format. */
export const kvCacheStateSchema = z.object({
	fromLayer: z.int(),
	toLayer: z.int(),
	/** Position of the next step. */
	position: z.int(),
	states: z.array(z.number()),
	index: z.int(),
});
export type KvCacheState = z.infer<typeof kvCacheStateSchema>;

export const orderSchema = z.object({
	order: z.enum(['load', 'unload', 'role']),
	fencing: z.int(),
	model: z.string().optional(),
	version: z.string().optional(),
	fromLayer: z.int().optional(),
	toLayer: z.int().optional(),
	adapter: z.string().optional(),
	role: z.string().optional(),
});
export type Order = z.infer<typeof orderSchema>;
