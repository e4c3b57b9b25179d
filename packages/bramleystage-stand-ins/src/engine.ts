/**
 * Stand-in of a model engine that holds a range of layers and runs steps
 * over HTTP. docs/STAND-INS.md describes the interface.
 */
import {parseJson, writeJson} from 'bramleystage';
import {type AcceleratorKind, computeLayerRate} from './accelerator.js';
import {BatchRunner} from './engine-batches.js';
import {hasLayers, LoadedModelManager} from './loaded-model.js';
import {
	kvCacheStateSchema,
	orderSchema,
	type Step,
	type StepOutput,
	stepsSchema,
} from './engine-schema.js';
import {listStepInputs, SequenceStore} from './engine-sequences.js';
import {
	type RequestHandler,
	serveStandIn,
	type StandIn,
} from './stand-in-server.js';
import {LaggingValue} from './lagging-value.js';
import {
	defaultPrefixCacheOptions,
	PrefixCache,
	type PrefixCacheOptions,
} from './prefix-cache.js';

export type EngineOptions = {
	readonly address: string;
	readonly model: string;
	readonly version: string;
	readonly fromLayer: number;
	readonly toLayer: number;
	/** Number of layers of the complete model. */
	readonly modelLayers: number;
	readonly acceleratorKind: AcceleratorKind;
	readonly checksFencing: boolean;
	readonly prefixCache?: PrefixCacheOptions;
	/** Time by which the load report lags behind, in milliseconds. */
	readonly loadLagMs?: number;
	/** Maximum number of steps in one batch. */
	readonly maxBatchSteps?: number;
};

export const defaultLoadLagMs = 500;
export const defaultMaxBatchSteps = 64;

const readClock = () => performance.now();

/** Starts the stand-in of a model engine. */
export async function startEngineStandIn(
	options: EngineOptions,
): Promise<StandIn> {
	const prefixCache = new PrefixCache(
		options.prefixCache ?? defaultPrefixCacheOptions,
	);
	const sequences = new SequenceStore(
		options.modelLayers,
		prefixCache,
		readClock,
	);
	const load = new LaggingValue(
		{waiting: 0, running: 0},
		options.loadLagMs ?? defaultLoadLagMs,
	);
	const {model, version, fromLayer, toLayer} = options;
	const loadedModel = new LoadedModelManager(
		{model, version, fromLayer, toLayer, role: 'serving', adapters: []},
		options.checksFencing,
	);

	const runStep = (step: Step) => {
		const {sequence, position} = step;
		const output: StepOutput = hasLayers(loadedModel.current, step)
			? sequences.run(step)
			: {sequence, position, error: 'layers not held'};
		const inputs = output.error === undefined ? listStepInputs(step).length : 0;
		return {output, tokens: inputs - (output.cachedTokens ?? 0)};
	};

	const batches: BatchRunner = new BatchRunner({
		kind: options.acceleratorKind,
		maxBatchSteps: options.maxBatchSteps ?? defaultMaxBatchSteps,
		runStep,
		onChange() {
			const {waiting, running} = batches;
			load.update({waiting, running}, readClock());
		},
	});

	const handleSteps: RequestHandler = async ({body, response}) => {
		const {steps} = stepsSchema.parse(parseJson(body.toString()));
		response.writeHead(200, {'content-type': 'application/x-ndjson'});
		await Promise.all(
			steps.map(async (step) => {
				const output = await batches.add(step);
				response.write(`${JSON.stringify(output)}\n`);
			}),
		);
		response.end();
	};

	const handleSequence: RequestHandler = ({method, url, body, response}) => {
		const [name = '', part] = url.pathname
			.split('/')
			.slice(3)
			.map((segment) => decodeURIComponent(segment));
		if (method === 'DELETE') {
			batches.cancel(name);
			writeJson(response, 200, {deleted: sequences.remove(name)});
			return;
		}

		if (method === 'PUT' && part === 'kv') {
			const state = kvCacheStateSchema.parse(parseJson(body.toString()));
			sequences.importState(name, state);
			writeJson(response, 200, {});
			return;
		}

		const from = Number(url.searchParams.get('from') ?? 0);
		const found =
			part === 'outputs'
				? sequences.listOutputs(name, from)
				: sequences.exportState(name);
		writeJson(
			response,
			found ? 200 : 404,
			found ?? {error: 'No such sequence.'},
		);
	};

	const handleOrder: RequestHandler = ({body, response}) => {
		const order = orderSchema.parse(parseJson(body.toString()));
		loadedModel.apply(order).match(
			(loaded) => {
				writeJson(response, 200, loaded);
			},
			(refusal) => {
				writeJson(response, 409, refusal);
			},
		);
	};

	const handleCacheEvents: RequestHandler = ({url, response}) => {
		const from = Number(url.searchParams.get('from') ?? 0);
		writeJson(response, 200, prefixCache.listEvents(from, readClock()));
	};

	const handleLoad: RequestHandler = ({response}) => {
		const {at, value} = load.read(readClock());
		const ageMs = Number.isFinite(at) ? readClock() - at : null;
		writeJson(response, 200, {...value, ageMs});
	};

	const handleEngine: RequestHandler = ({response}) => {
		writeJson(response, 200, {
			...loadedModel.current,
			acceleratorKind: options.acceleratorKind,
			layerTokensPerSecond: computeLayerRate(options.acceleratorKind),
			waiting: batches.waiting,
			sequences: sequences.size,
			stepsRun: sequences.stepsRun,
		});
	};

	const handlers = new Map<string, RequestHandler>([
		['steps', handleSteps],
		['sequences', handleSequence],
		['orders', handleOrder],
		['cache-events', handleCacheEvents],
		['load', handleLoad],
		['engine', handleEngine],
	]);
	return serveStandIn(options.address, async (context) => {
		const [, version, name = ''] = context.url.pathname.split('/');
		const handler = version === 'v1' ? handlers.get(name) : undefined;
		if (handler) {
			await handler(context);
		} else {
			writeJson(context.response, 404, {error: 'No such path.'});
		}
	});
}
