/** A model request as the entry runs it, and the routing that it asks for. */
import type {
	CustomerCells,
	CustomerId,
	Failure,
	HostId,
	ModelCells,
	RequestId,
	Stage,
	Token,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import type {ModelBody} from './model-body.js';

/** One request as the desk runs it. */
export type ModelRequest = {
	readonly request: RequestId;
	readonly customer: CustomerId;
	readonly cells: CustomerCells;
	readonly model: ModelCells;
	readonly body: ModelBody;
	readonly deadlineMs: number;
	readonly giveToken: (token: Token) => void;
	/** Called once, at the end; `failure` is absent for a whole answer. */
	readonly finish: (
		failure: Failure | undefined,
		facts: {attempts: number; stages: readonly Stage[]},
	) => void;
};

/** Routing decision: the stages for a request, or why there are none. */
export type ChooseStages = (
	request: ModelRequest,
	excluding: readonly HostId[],
) => Result<readonly Stage[], Failure>;

/** A stage to replace, among the stages of its pipeline. */
export type LostStage = {
	readonly stages: readonly Stage[];
	readonly index: number;
	readonly excluding: readonly HostId[];
};

/** Routing decision: the pipeline with its lost stage replaced, or none. */
export type ReplaceStage = (
	request: ModelRequest,
	lost: LostStage,
) => readonly Stage[] | undefined;
