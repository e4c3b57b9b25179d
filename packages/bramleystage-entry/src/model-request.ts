/** A model request as the entry runs it, and the routing functions for it. */
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

/** One model request and the callbacks of its run. */
export type ModelRequest = {
	readonly request: RequestId;
	readonly customer: CustomerId;
	/** Values of the customer's table row. */
	readonly customerCells: CustomerCells;
	/** Values of the model's table row. */
	readonly modelCells: ModelCells;
	readonly body: ModelBody;
	readonly deadlineMs: number;
	/** Called for each token of the answer, in order. */
	readonly onToken: (token: Token) => void;
	/** Called once, at the end; `failure` is undefined if the answer is complete. */
	readonly onEnd: (
		failure: Failure | undefined,
		metadata: {attempts: number; stages: readonly Stage[]},
	) => void;
};

/** Chooses the stages for a request, or returns the reason why there are none. */
export type ChooseStages = (
	request: ModelRequest,
	excluding: readonly HostId[],
) => Result<readonly Stage[], Failure>;

/** A lost stage, given as an index into the stages of its pipeline. */
export type LostStage = {
	readonly stages: readonly Stage[];
	readonly index: number;
	readonly excluding: readonly HostId[];
};

/**
 * Returns the pipeline with its lost stage replaced; undefined if there is no
 * replacement.
 */
export type ReplaceStage = (
	request: ModelRequest,
	lost: LostStage,
) => readonly Stage[] | undefined;
