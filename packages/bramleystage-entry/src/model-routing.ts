/** Routing of model requests by their body and their model's table row. */
import {
	estimatePromptTokens,
	createFailure,
	type Failure,
	type HostId,
	type HostsSnapshot,
	listPrefixBlocks,
	type Milliseconds,
	type PrefixBlocks,
	replaceStage,
	type RequestShape,
	type Stage,
} from 'bramleystage';
import {err, type Result} from 'neverthrow';
import type {LostStage, ModelRequest} from './model-request.js';
import {Router} from './routing.js';

/** Number of candidate hosts compared for each layer range. */
const candidatesPerRange = 4;
/**
 * Answers are expected to be no longer than this, even if `max_tokens` is
 * higher.
 */
const maxExpectedAnswerTokens = 256;

/** A request, the known hosts, and the hosts that must not be chosen. */
export type StageChoiceInput = {
	readonly request: ModelRequest;
	readonly hosts: HostsSnapshot;
	readonly excluding: readonly HostId[];
	/** Leading blocks of the prompt; absent if prefix caches are not considered. */
	readonly prefix?: PrefixBlocks;
};

/**
 * Creates the router of an entry; `drawIndex` returns a random integer below
 * its bound.
 */
export const createRouter = (drawIndex: (bound: number) => number) =>
	new Router({drawIndex, candidatesPerRange});

/** Estimates the prompt and answer length of a request, in tokens. */
export const estimateRequestShape = ({
	body,
}: Pick<ModelRequest, 'body'>): RequestShape => ({
	promptTokens: estimatePromptTokens(body.prompt),
	answerTokens: Math.min(body.maxTokens, maxExpectedAnswerTokens),
});

/** Lists the leading blocks of a request's prompt. */
export const listRequestBlocks = ({
	body,
	modelCells,
}: Pick<ModelRequest, 'body' | 'modelCells'>): PrefixBlocks =>
	listPrefixBlocks(body.model, modelCells.version, body.prompt);

/** Chooses the stages of a request. */
export function chooseModelStages(
	router: Router,
	{request, hosts, excluding, prefix}: StageChoiceInput,
	now: Milliseconds,
): Result<readonly Stage[], Failure> {
	const {layers, version} = request.modelCells;
	if (layers === undefined) {
		const detail = `The table row of ${request.body.model} has no layer count.`;
		return err(createFailure('noPipeline', detail));
	}

	const shape = estimateRequestShape(request);
	const {model} = request.body;
	return router.chooseStages(
		hosts,
		{model, version, layers, prefix, ...shape},
		excluding,
		now,
	);
}

/**
 * Replaces the lost stage of a pipeline; the other stages stay. Undefined if it
 * can't be replaced.
 */
export function replaceModelStage(
	router: Router,
	input: {
		readonly request: ModelRequest;
		readonly lost: LostStage;
		readonly hosts: HostsSnapshot;
	},
	now: Milliseconds,
): readonly Stage[] | undefined {
	const {request, lost, hosts} = input;
	const {version} = request.modelCells;
	return replaceStage({...lost, version}, hosts, (uncovered) => {
		const modelCells = {
			...request.modelCells,
			layers: uncovered.layers,
			version: uncovered.version,
		};
		return chooseModelStages(
			router,
			{
				request: {...request, modelCells},
				hosts: uncovered.hosts,
				excluding: uncovered.excluding,
			},
			now,
		).unwrapOr(undefined);
	});
}
