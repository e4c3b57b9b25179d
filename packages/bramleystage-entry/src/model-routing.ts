/** Routes a model request by the facts of its body and of its model's row. */
import {
	estimatePromptTokens,
	createFailure,
	type Failure,
	type HostId,
	type HostsSnapshot,
	type Milliseconds,
	replaceStage,
	type RequestShape,
	type Stage,
} from 'bramleystage';
import {err, type Result} from 'neverthrow';
import type {LostStage, ModelRequest} from './model-request.js';
import {Router} from './routing.js';

/** Hosts of each range that a decision weighs. */
const choices = 4;
/** An answer is expected to be no longer than this, in tokens. */
const expectedAnswerTokens = 256;

/** What the stages of a request are chosen from. */
export type ModelChoice = {
	readonly request: ModelRequest;
	readonly hosts: HostsSnapshot;
	readonly excluding: readonly HostId[];
};

/** Creates the router of an entry; `drawIndex` is its source of chance. */
export const createRouter = (drawIndex: (bound: number) => number) =>
	new Router({drawIndex, choices});

/** Estimates what a request asks of its pipeline. */
export const measureRequest = ({
	body,
}: Pick<ModelRequest, 'body'>): RequestShape => ({
	promptTokens: estimatePromptTokens(body.prompt),
	answerTokens: Math.min(body.maxTokens, expectedAnswerTokens),
});

/** Chooses the stages of a request. */
export function chooseModelStages(
	router: Router,
	{request, hosts, excluding}: ModelChoice,
	now: Milliseconds,
): Result<readonly Stage[], Failure> {
	const {layers, version} = request.model;
	if (layers === undefined) {
		const detail = `The row of ${request.body.model} names no layers.`;
		return err(createFailure('noPipeline', detail));
	}

	const shape = measureRequest(request);
	const {model} = request.body;
	return router.chooseStages(
		hosts,
		{model, version, layers, ...shape},
		excluding,
		now,
	);
}

/** Chooses the pipeline with its lost stage replaced; the others stay. */
export function replaceModelStage(
	router: Router,
	choice: {
		readonly request: ModelRequest;
		readonly lost: LostStage;
		readonly hosts: HostsSnapshot;
	},
	now: Milliseconds,
): readonly Stage[] | undefined {
	const {request, lost, hosts} = choice;
	const {version} = request.model;
	return replaceStage({...lost, version}, hosts, (gap) => {
		const model = {
			...request.model,
			layers: gap.layers,
			version: gap.version,
		};
		return chooseModelStages(
			router,
			{
				request: {...request, model},
				hosts: gap.hosts,
				excluding: gap.excluding,
			},
			now,
		).unwrapOr(undefined);
	});
}
