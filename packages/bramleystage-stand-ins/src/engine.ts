/**
 * Stand-in of a model engine that holds a range of layers. Steps of many
 * sequences run in one batch; a step that was already run gives its recorded
 * output again, so a step whose answer was lost can be asked for once more.
 */
import {parseJson, waitFor, writeJson} from 'bramleystage';
import {z} from 'zod';
import {type Route, serveStandIn, type StandIn} from './faults.js';
import {
	decodeToken,
	drawToken,
	encodeText,
	LayerRange,
} from './reference-model.js';

export type EngineOptions = {
	readonly address: string;
	readonly model: string;
	readonly version: string;
	readonly fromLayer: number;
	readonly toLayer: number;
	/** Layers of the whole model. */
	readonly modelLayers: number;
	readonly acceleratorKind: AcceleratorKind;
	readonly checksFencing: boolean;
};

/** Service time by accelerator kind, in microseconds. */
export const acceleratorKinds = {
	large: {perBatchUs: 400, perLayerTokenUs: 4},
	medium: {perBatchUs: 600, perLayerTokenUs: 8},
	small: {perBatchUs: 900, perLayerTokenUs: 16},
	edge: {perBatchUs: 1500, perLayerTokenUs: 40},
} as const;
export type AcceleratorKind = keyof typeof acceleratorKinds;

const stepSchema = z.object({
	sequence: z.string(),
	position: z.int().min(0),
	fromLayer: z.int(),
	toLayer: z.int(),
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
const stepsSchema = z.object({steps: z.array(stepSchema)});
type Step = z.infer<typeof stepSchema>;
const restoreSchema = z.object({
	fromLayer: z.int(),
	toLayer: z.int(),
	position: z.int(),
	states: z.array(z.number()),
	index: z.int(),
});
const orderSchema = z.object({
	order: z.enum(['load', 'unload', 'role']),
	fencing: z.int(),
	model: z.string().optional(),
	version: z.string().optional(),
	fromLayer: z.int().optional(),
	toLayer: z.int().optional(),
	role: z.string().optional(),
});

type Sequence = {
	readonly layers: LayerRange;
	readonly outputs: Map<number, Record<string, unknown>>;
	next: number | undefined;
};

type WaitingStep = {
	readonly step: Step;
	readonly resolve: (output: Record<string, unknown>) => void;
};

const maxBatchSteps = 64;
const maxRecordedOutputs = 64;

/** Starts an engine's stand-in. */
export async function startEngine(options: EngineOptions): Promise<StandIn> {
	const kind = acceleratorKinds[options.acceleratorKind];
	const sequences = new Map<string, Sequence>();
	const waiting: WaitingStep[] = [];
	let holds = {
		model: options.model,
		version: options.version,
		fromLayer: options.fromLayer,
		toLayer: options.toLayer,
		role: 'serving',
	};
	let highestFencing = -1;
	let isRunning = false;
	let stepsRun = 0;

	const findSequence = (step: Step): Sequence => {
		const known = sequences.get(step.sequence);
		if (known) {
			return known;
		}

		const created: Sequence = {
			layers: new LayerRange(step.fromLayer, step.toLayer),
			outputs: new Map(),
			next: undefined,
		};
		sequences.set(step.sequence, created);
		return created;
	};

	const runStep = (step: Step): Record<string, unknown> => {
		const {sequence: name, position} = step;
		const sequence = findSequence(step);
		const recorded = sequence.outputs.get(position);
		if (recorded) {
			return recorded;
		}

		if (sequence.next !== undefined && sequence.next !== position) {
			return {sequence: name, position, error: 'out of order'};
		}

		const inputs = listInputs(step);
		const values = sequence.layers.run(inputs);
		const output = {
			sequence: name,
			position,
			values: step.toLayer === options.modelLayers ? [] : values,
			token:
				step.toLayer === options.modelLayers
					? describeToken(values.at(-1) ?? 0)
					: undefined,
			promptTokens: inputs.length,
		};
		sequence.next = position + 1;
		sequence.outputs.set(position, output);
		sequence.outputs.delete(position - maxRecordedOutputs);
		stepsRun++;
		return output;
	};

	const runBatches = async () => {
		if (isRunning) {
			return;
		}

		isRunning = true;
		while (waiting.length > 0) {
			waiting.sort((a, b) => b.step.priority - a.step.priority);
			const batch = waiting.splice(0, maxBatchSteps);
			const outputs = batch.map(({step}) => runStep(step));
			// eslint-disable-next-line no-await-in-loop -- one batch at a time
			await waitFor(measureBatch(batch, kind) / 1000);
			for (const [index, {resolve}] of batch.entries()) {
				resolve(outputs[index] ?? {});
			}
		}

		isRunning = false;
	};

	const answerSteps: Route = async ({body, response}) => {
		const parsed = stepsSchema.safeParse(parseJson(body.toString()));
		if (!parsed.success) {
			writeJson(response, 400, {error: parsed.error.message});
			return;
		}

		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		await Promise.all(
			parsed.data.steps.map(async (step) => {
				const output = await new Promise<Record<string, unknown>>((resolve) => {
					waiting.push({step, resolve});
					void runBatches();
				});
				response.write(`${JSON.stringify(output)}\n`);
			}),
		);
		response.end();
	};

	const answerSequence: Route = ({method, url, body, response}) => {
		const segments = url.pathname
			.split('/')
			.map((part) => decodeURIComponent(part));
		const name = segments[3] ?? '';
		const part = segments[4];
		const sequence = sequences.get(name);
		if (method === 'DELETE') {
			sequences.delete(name);
			writeJson(response, 200, {deleted: sequence !== undefined});
		} else if (method === 'PUT' && part === 'kv') {
			const {fromLayer, toLayer, position, ...restored} = restoreSchema.parse(
				parseJson(body.toString()),
			);
			const layers = new LayerRange(fromLayer, toLayer, restored);
			sequences.set(name, {layers, outputs: new Map(), next: position});
			writeJson(response, 200, {});
		} else if (sequence) {
			const {fromLayer, toLayer, snapshot} = sequence.layers;
			writeJson(response, 200, {
				fromLayer,
				toLayer,
				position: sequence.next ?? 0,
				...snapshot,
			});
		} else {
			writeJson(response, 404, {error: 'No such sequence.'});
		}
	};

	const answerOrder: Route = ({body, response}) => {
		const order = orderSchema.parse(parseJson(body.toString()));
		if (options.checksFencing && order.fencing < highestFencing) {
			writeJson(response, 409, {error: 'old fencing number', highestFencing});
			return;
		}

		highestFencing = Math.max(highestFencing, order.fencing);
		const {order: verb, fencing: _fencing, ...facts} = order;
		holds =
			verb === 'unload'
				? {...holds, toLayer: holds.fromLayer}
				: {...holds, ...removeUndefined(facts)};
		writeJson(response, 200, holds);
	};

	return serveStandIn(options.address, async (context) => {
		const {pathname} = context.url;
		if (pathname === '/v1/steps') {
			await answerSteps(context);
		} else if (pathname.startsWith('/v1/sequences/')) {
			await answerSequence(context);
		} else if (pathname === '/v1/orders') {
			await answerOrder(context);
		} else if (pathname === '/v1/engine') {
			writeJson(context.response, 200, {
				...holds,
				acceleratorKind: options.acceleratorKind,
				layerTokensPerSecond: 1_000_000 / kind.perLayerTokenUs,
				waiting: waiting.length,
				sequences: sequences.size,
				stepsRun,
			});
		} else {
			writeJson(context.response, 404, {error: 'No such path.'});
		}
	});
}

function listInputs({input}: Step): readonly number[] {
	switch (input.kind) {
		case 'prompt': {
			return [...encodeText(input.prompt), ...input.given];
		}

		case 'token': {
			return [input.token];
		}

		case 'values': {
			return input.values;
		}
	}
}

function describeToken(activation: number): Record<string, unknown> {
	const {id, isEnd} = drawToken(activation);
	return {id, isEnd, text: decodeToken(id)};
}

function measureBatch(
	batch: readonly WaitingStep[],
	kind: (typeof acceleratorKinds)[AcceleratorKind],
): number {
	const layerTokens = batch.map(
		({step}) => (step.toLayer - step.fromLayer) * listInputs(step).length,
	);
	const total = layerTokens.reduce((sum, count) => sum + count, 0);
	return kind.perBatchUs + total * kind.perLayerTokenUs;
}

function removeUndefined<Facts extends Record<string, unknown>>(
	facts: Facts,
): Partial<Facts> {
	return Object.fromEntries(
		Object.entries(facts).filter(([, value]) => value !== undefined),
	) as Partial<Facts>;
}
