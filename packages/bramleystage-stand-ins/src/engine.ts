/**
 * Stand-in of a model engine that holds a range of layers, over HTTP.
 * docs/STAND-INS.md describes the interface.
 */
import {parseJson, writeJson} from 'bramleystage';
import {type AcceleratorKind, computeLayerRate} from './accelerator.js';
import {BatchRunner} from './engine-batches.js';
import {hasLayers, HoldingDesk} from './engine-holding.js';
import {
	cacheStateSchema,
	orderSchema,
	type Step,
	type StepAnswer,
	stepsSchema,
} from './engine-schema.js';
import {listInputs, SequenceStore} from './engine-sequences.js';
import {type Route, serveStandIn, type StandIn} from './faults.js';
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
	/** Layers of the whole model. */
	readonly modelLayers: number;
	readonly acceleratorKind: AcceleratorKind;
	readonly checksFencing: boolean;
	readonly prefixCache?: PrefixCacheOptions;
	/** Age of the load report, in milliseconds. */
	readonly loadLagMs?: number;
	/** Steps of one batch. */
	readonly maxBatchSteps?: number;
};

export const defaultLoadLagMs = 500;
export const defaultMaxBatchSteps = 64;

const readClock = () => performance.now();

/** Starts an engine's stand-in. */
export async function startEngine(options: EngineOptions): Promise<StandIn> {
	const cache = new PrefixCache(
		options.prefixCache ?? defaultPrefixCacheOptions,
	);
	const sequences = new SequenceStore(options.modelLayers, cache, readClock);
	const load = new LaggingValue(
		{waiting: 0, running: 0},
		options.loadLagMs ?? defaultLoadLagMs,
	);
	const {model, version, fromLayer, toLayer} = options;
	const holding = new HoldingDesk(
		{model, version, fromLayer, toLayer, role: 'serving', adapters: []},
		options.checksFencing,
	);

	const runStep = (step: Step) => {
		const {sequence, position} = step;
		const answer: StepAnswer = hasLayers(holding.current, step)
			? sequences.run(step)
			: {sequence, position, error: 'layers not held'};
		const inputs = answer.error === undefined ? listInputs(step).length : 0;
		return {answer, tokens: inputs - (answer.cachedTokens ?? 0)};
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

	const answerSteps: Route = async ({body, response}) => {
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

	const answerSequence: Route = ({method, url, body, response}) => {
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
			const state = cacheStateSchema.parse(parseJson(body.toString()));
			sequences.restore(name, state);
			writeJson(response, 200, {});
			return;
		}

		const from = Number(url.searchParams.get('from') ?? 0);
		const found =
			part === 'outputs'
				? sequences.listOutputs(name, from)
				: sequences.read(name);
		writeJson(
			response,
			found ? 200 : 404,
			found ?? {error: 'No such sequence.'},
		);
	};

	const answerOrder: Route = ({body, response}) => {
		const order = orderSchema.parse(parseJson(body.toString()));
		holding.handle(order).match(
			(held) => {
				writeJson(response, 200, held);
			},
			(refusal) => {
				writeJson(response, 409, refusal);
			},
		);
	};

	const answerCacheEvents: Route = ({url, response}) => {
		const from = Number(url.searchParams.get('from') ?? 0);
		writeJson(response, 200, cache.listEvents(from, readClock()));
	};

	const answerLoad: Route = ({response}) => {
		const {at, value} = load.read(readClock());
		const ageMs = Number.isFinite(at) ? readClock() - at : null;
		writeJson(response, 200, {...value, ageMs});
	};

	const answerEngine: Route = ({response}) => {
		writeJson(response, 200, {
			...holding.current,
			acceleratorKind: options.acceleratorKind,
			layerTokensPerSecond: computeLayerRate(options.acceleratorKind),
			waiting: batches.waiting,
			sequences: sequences.size,
			stepsRun: sequences.stepsRun,
		});
	};

	const routes = new Map<string, Route>([
		['steps', answerSteps],
		['sequences', answerSequence],
		['orders', answerOrder],
		['cache-events', answerCacheEvents],
		['load', answerLoad],
		['engine', answerEngine],
	]);
	return serveStandIn(options.address, async (context) => {
		const [, version, name = ''] = context.url.pathname.split('/');
		const route = version === 'v1' ? routes.get(name) : undefined;
		if (route) {
			await route(context);
		} else {
			writeJson(context.response, 404, {error: 'No such path.'});
		}
	});
}
