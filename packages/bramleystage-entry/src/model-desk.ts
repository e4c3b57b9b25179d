/** Carries out the decisions of model requests: one run for each request. */
import {
	type Attempt,
	type AllowRetry,
	computeStageWork,
	createModelRun,
	type CustomerCells,
	type CustomerId,
	decideModelRun,
	type Failure,
	findNextPosition,
	type HostId,
	type Message,
	type ModelCells,
	type ModelRunCommand,
	type ModelRunEvent,
	type ModelRunState,
	type RequestId,
	type Stage,
	type Token,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import type {ModelBody} from './model-body.js';
import {measureRequest} from './model-routing.js';
import type {NetworkEvent} from './network.js';

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

type Held = {
	readonly request: ModelRequest;
	readonly timer: NodeJS.Timeout;
	state: ModelRunState;
};

const defaultWeight = 1;
const defaultPriority = 5;

export class ModelDesk {
	readonly #held = new Map<RequestId, Held>();

	constructor(
		private readonly options: {
			readonly choose: ChooseStages;
			readonly send: (host: HostId, message: Message) => void;
			readonly allowRetry: AllowRetry;
			readonly readClock: () => number;
		},
	) {}

	get size(): number {
		return this.#held.size;
	}

	/** Starts a request. */
	start(request: ModelRequest): void {
		const now = this.options.readClock();
		const timer = setTimeout(() => {
			this.handle(request.request, {type: 'deadline'});
		}, request.deadlineMs);
		const state = createModelRun(now + request.deadlineMs);
		this.#held.set(request.request, {request, timer, state});
		this.handle(request.request, {type: 'started'});
	}

	/** Decides an event of a request and carries out what follows. */
	handle(id: RequestId, event: ModelRunEvent): void {
		const held = this.#held.get(id);
		if (!held) {
			return;
		}

		const [state, commands] = decideModelRun(
			held.state,
			event,
			this.options.readClock(),
			this.options.allowRetry,
		);
		held.state = state;
		for (const command of commands) {
			this.#carryOut(held, command);
		}
	}

	/** Takes what the network says. */
	receive(event: NetworkEvent): void {
		if (event.type === 'lost') {
			const {host, incarnation} = event.host;
			for (const id of this.#held.keys()) {
				this.handle(id, {type: 'sessionLost', host, incarnation});
			}
		} else if (event.type === 'message') {
			this.#receiveMessage(event.from, event.message);
		}
	}

	#receiveMessage(host: HostId, message: Message): void {
		switch (message.type) {
			case 'token': {
				this.handle(message.request, {type: 'token', token: message});

				break;
			}

			case 'stageOpened': {
				const {request, attempt, index} = message;
				this.handle(request, {type: 'stageOpened', attempt, index});

				break;
			}

			case 'failed': {
				this.handle(message.request, {type: 'failed', host, message});

				break;
			}
			// No default
		}
	}

	#carryOut(held: Held, command: ModelRunCommand): void {
		const {request} = held;
		switch (command.type) {
			case 'choose': {
				const stages = this.options.choose(request, command.excluding);
				this.handle(
					request.request,
					stages.match<ModelRunEvent>(
						(chosen) => ({type: 'chosen', stages: chosen}),
						(failure) => ({type: 'chosen', stages: undefined, failure}),
					),
				);
				break;
			}

			case 'openStages': {
				this.#openStages(held, command);
				break;
			}

			case 'runFirst': {
				this.options.send(command.stage.host, {
					type: 'stageRun',
					request: request.request,
					attempt: command.attempt,
					prompt: request.body.prompt,
					given: [...command.given],
				});
				break;
			}

			case 'cancelStages': {
				this.#cancelStages(request.request, command.stages, command.upTo);
				break;
			}

			case 'giveToken': {
				request.giveToken(command.token);
				break;
			}

			case 'finish': {
				this.#finish(held, undefined);
				break;
			}

			case 'failCaller': {
				this.#finish(held, command.failure);
				break;
			}
		}
	}

	#openStages(
		{request, state}: Held,
		{
			attempt,
			stages,
			deadlineMs,
		}: Extract<ModelRunCommand, {type: 'openStages'}>,
	): void {
		const shape = measureRequest(request);
		for (const [index, stage] of stages.entries()) {
			this.options.send(stage.host, {
				type: 'stageOpen',
				request: request.request,
				attempt,
				model: request.body.model,
				version: request.model.version,
				customer: request.customer,
				weight: request.cells.weight ?? defaultWeight,
				priority: request.cells.priority ?? defaultPriority,
				stages: [...stages],
				index,
				fromPosition: findNextPosition(state),
				maxTokens: request.body.maxTokens,
				work: computeStageWork(shape, stage.toLayer - stage.fromLayer),
				deadlineMs,
			});
		}
	}

	#cancelStages(
		request: RequestId,
		stages: readonly Stage[],
		upTo: Attempt,
	): void {
		for (const {host} of stages) {
			this.options.send(host, {type: 'cancel', request, upTo});
		}
	}

	#finish(held: Held, failure: Failure | undefined): void {
		const {request, state, timer} = held;
		clearTimeout(timer);
		this.#held.delete(request.request);
		const {attempt, stages} = state;
		request.finish(failure, {attempts: attempt, stages});
	}
}
