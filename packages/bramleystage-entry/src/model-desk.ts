/** Carries out the decisions of model requests: one run for each request. */
import {
	type AllowRetry,
	computeStageWork,
	createModelRun,
	decideModelRun,
	type Failure,
	type HostId,
	type Message,
	type ModelRunCommand,
	type ModelRunEvent,
	type ModelRunState,
	type RecoveryMode,
	type RequestId,
} from 'bramleystage';
import {CancelOutbox} from './cancel-outbox.js';
import type {
	ChooseStages,
	ModelRequest,
	ReplaceStage,
} from './model-request.js';
import {measureRequest} from './model-routing.js';
import type {NetworkEvent} from './network.js';

type Held = {
	readonly request: ModelRequest;
	readonly timer: NodeJS.Timeout;
	chooseTimer: NodeJS.Timeout | undefined;
	state: ModelRunState;
};

const defaultWeight = 1;
const defaultPriority = 5;

export class ModelDesk {
	readonly #held = new Map<RequestId, Held>();
	readonly #cancels: CancelOutbox;

	constructor(
		private readonly options: {
			readonly choose: ChooseStages;
			readonly replace: ReplaceStage;
			readonly send: (host: HostId, message: Message) => void;
			readonly allowRetry: AllowRetry;
			readonly recovery: RecoveryMode;
			readonly readClock: () => number;
		},
	) {
		this.#cancels = new CancelOutbox(options.send);
	}

	get size(): number {
		return this.#held.size;
	}

	/** Describes the runs, for the dump. */
	describe(): Array<Record<string, unknown>> {
		return [...this.#held].map(([request, {state}]) => ({
			request,
			phase: state.phase,
			attempt: state.attempt,
			lineage: state.lineage,
			start: state.start,
			given: state.deliveredTokens.length,
			stages: state.stages.map(({host}) => host),
			opened: [...state.opened.values()].map(({index, next}) => [index, next]),
			kept: [...state.kept],
			avoided: state.avoided,
		}));
	}

	/** Starts a request. */
	start(request: ModelRequest): void {
		const now = this.options.readClock();
		const timer = setTimeout(() => {
			this.handle(request.request, {type: 'deadline'});
		}, request.deadlineMs);
		const state = createModelRun(now + request.deadlineMs);
		this.#held.set(request.request, {
			request,
			timer,
			chooseTimer: undefined,
			state,
		});
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
			this.options,
		);
		held.state = state;
		for (const command of commands) {
			this.#carryOut(held, command);
		}
	}

	/** Takes what the network says. */
	receive(event: NetworkEvent): void {
		switch (event.type) {
			case 'message': {
				this.#receiveMessage(event.from, event.message);
				break;
			}

			case 'opened': {
				this.#cancels.resend(event.host.host);
				this.#handleAll({type: 'hostReturned', ...event.host});
				break;
			}

			case 'gone': {
				this.#cancels.forget(event.host.host);
				this.#handleAll({type: 'hostLost', ...event.host});
				break;
			}

			case 'lost': {
				// The session is being opened again.
				break;
			}
		}
	}

	#handleAll(event: ModelRunEvent): void {
		for (const id of this.#held.keys()) {
			this.handle(id, event);
		}
	}

	#receiveMessage(host: HostId, message: Message): void {
		switch (message.type) {
			case 'token': {
				this.handle(message.request, {type: 'token', token: message});
				break;
			}

			case 'stageOpened': {
				this.handle(message.request, {type: 'stageOpened', message});
				break;
			}

			case 'failed': {
				this.handle(message.request, {type: 'failed', host, message});
				break;
			}

			case 'cancelled': {
				this.#cancels.settle(host, message.request);
				break;
			}
			// No default
		}
	}

	#carryOut(held: Held, command: ModelRunCommand): void {
		const {request} = held;
		const id = request.request;
		switch (command.type) {
			case 'choose': {
				const stages = this.options.choose(request, command.excluding);
				this.handle(
					id,
					stages.match<ModelRunEvent>(
						(chosen) => ({type: 'chosen', stages: chosen}),
						(failure) => ({type: 'chosen', stages: undefined, failure}),
					),
				);
				break;
			}

			case 'chooseReplacement': {
				const stages = this.options.replace(request, command);
				this.handle(id, {type: 'replaced', stages});
				break;
			}

			case 'chooseLater': {
				held.chooseTimer = setTimeout(() => {
					this.handle(id, {type: 'chooseAgain'});
				}, command.delayMs);
				break;
			}

			case 'openStage': {
				this.#openStage(request, command);
				break;
			}

			case 'runFirst': {
				const {attempt, given} = command;
				this.options.send(command.stage.host, {
					type: 'stageRun',
					request: id,
					attempt,
					prompt: request.body.prompt,
					given: [...given],
				});
				break;
			}

			case 'resumeStage': {
				const {attempt, replay, stage} = command;
				this.options.send(stage.host, {
					type: 'stageResume',
					request: id,
					attempt,
					replay,
				});
				break;
			}

			case 'acknowledge': {
				const {position} = command;
				for (const {host} of command.stages) {
					this.options.send(host, {type: 'acknowledge', request: id, position});
				}

				break;
			}

			case 'cancelStages': {
				for (const {host} of command.stages) {
					this.#cancels.add(host, id, command.upTo);
				}

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

	#openStage(
		modelRequest: ModelRequest,
		command: Extract<ModelRunCommand, {type: 'openStage'}>,
	): void {
		const {request, customer, cells, model, body} = modelRequest;
		const {index, stages, attempt, lineage, keeps} = command;
		const stage = stages[index];
		if (!stage) {
			return;
		}

		this.options.send(stage.host, {
			type: 'stageOpen',
			request,
			attempt,
			lineage,
			keeps,
			model: body.model,
			version: model.version,
			customer,
			weight: cells.weight ?? defaultWeight,
			priority: cells.priority ?? defaultPriority,
			stages: [...stages],
			index,
			fromPosition: command.fromPosition,
			maxTokens: body.maxTokens,
			work: computeStageWork(
				measureRequest(modelRequest),
				stage.toLayer - stage.fromLayer,
			),
			deadlineMs: command.deadlineMs,
		});
	}

	#finish(held: Held, failure: Failure | undefined): void {
		const {request, state, timer, chooseTimer} = held;
		clearTimeout(timer);
		clearTimeout(chooseTimer);
		this.#held.delete(request.request);
		const {attempt, stages} = state;
		request.finish(failure, {attempts: attempt, stages});
	}
}
