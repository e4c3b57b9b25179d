/**
 * Runs model requests: keeps the state of each active request, passes events to
 * its state machine and executes the commands that the state machine returns.
 */
import {
	type AllowRetry,
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
import type {AgentNetworkEvent} from './agent-network.js';
import type {SentPrompts} from './sent-prompts.js';

type ActiveRun = {
	readonly request: ModelRequest;
	readonly deadlineTimer: NodeJS.Timeout;
	chooseTimer: NodeJS.Timeout | undefined;
	state: ModelRunState;
};

const defaultWeight = 1;
const defaultPriority = 5;

export class ModelRunManager {
	readonly #activeRuns = new Map<RequestId, ActiveRun>();
	readonly #cancelOutbox: CancelOutbox;

	constructor(
		private readonly options: {
			readonly chooseStages: ChooseStages;
			readonly replaceStage: ReplaceStage;
			readonly send: (host: HostId, message: Message) => void;
			readonly allowRetry: AllowRetry;
			readonly recovery: RecoveryMode;
			readonly prompts: SentPrompts;
			readonly readClock: () => number;
		},
	) {
		this.#cancelOutbox = new CancelOutbox(options.send);
	}

	get size(): number {
		return this.#activeRuns.size;
	}

	/** Describes the active runs for `/dump`. */
	describe(): Array<Record<string, unknown>> {
		return [...this.#activeRuns].map(([request, {state}]) => ({
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

	/** Starts the run of a request. */
	start(request: ModelRequest): void {
		const now = this.options.readClock();
		const deadlineTimer = setTimeout(() => {
			this.handle(request.request, {type: 'deadline'});
		}, request.deadlineMs);
		const state = createModelRun(now + request.deadlineMs);
		this.#activeRuns.set(request.request, {
			request,
			deadlineTimer,
			chooseTimer: undefined,
			state,
		});
		this.handle(request.request, {type: 'started'});
	}

	/** Handles an event of a request; ignored if the request is not active. */
	handle(id: RequestId, event: ModelRunEvent): void {
		const run = this.#activeRuns.get(id);
		if (!run) {
			return;
		}

		const [state, commands] = decideModelRun(
			run.state,
			event,
			this.options.readClock(),
			this.options,
		);
		run.state = state;
		for (const command of commands) {
			this.#execute(run, command);
		}
	}

	/** Handles sessions' events and agents' messages. */
	receive(event: AgentNetworkEvent): void {
		switch (event.type) {
			case 'message': {
				this.#receiveMessage(event.from, event.message);
				break;
			}

			case 'opened': {
				this.#cancelOutbox.resend(event.host.host);
				this.#broadcast({type: 'hostReconnected', ...event.host});
				break;
			}

			case 'unreachable': {
				this.#cancelOutbox.removeHost(event.host.host);
				this.#broadcast({type: 'hostLost', ...event.host});
				break;
			}

			case 'lost': {
				// The session is being reopened; the run continues meanwhile.
				break;
			}
		}
	}

	#broadcast(event: ModelRunEvent): void {
		for (const id of this.#activeRuns.keys()) {
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
				this.#cancelOutbox.confirm(host, message.request);
				break;
			}
			// No default
		}
	}

	#execute(run: ActiveRun, command: ModelRunCommand): void {
		const {request} = run;
		const id = request.request;
		switch (command.type) {
			case 'choose': {
				const stages = this.options.chooseStages(request, command.excluding);
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
				const stages = this.options.replaceStage(request, command);
				this.handle(id, {type: 'replaced', stages});
				break;
			}

			case 'chooseLater': {
				run.chooseTimer = setTimeout(() => {
					this.handle(id, {type: 'retryChoice'});
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
					this.#cancelOutbox.add(host, id, command.upTo);
				}

				break;
			}

			case 'deliverToken': {
				const {prompts, readClock} = this.options;
				prompts.recordToken(command.token, readClock());
				request.onToken(command.token);
				break;
			}

			case 'finish': {
				this.#finish(run, undefined);
				break;
			}

			case 'failCaller': {
				this.#finish(run, command.failure);
				break;
			}
		}
	}

	#openStage(
		modelRequest: ModelRequest,
		command: Extract<ModelRunCommand, {type: 'openStage'}>,
	): void {
		const {request, customer, customerCells, modelCells, body} = modelRequest;
		const {index, stages, attempt, lineage, keeps} = command;
		const stage = stages[index];
		if (!stage) {
			return;
		}

		const {prefix, work} = this.options.prompts.openStage(
			modelRequest,
			index,
			command,
			this.options.readClock(),
		);
		this.options.send(stage.host, {
			type: 'stageOpen',
			request,
			attempt,
			lineage,
			keeps,
			model: body.model,
			version: modelCells.version,
			customer,
			weight: customerCells.weight ?? defaultWeight,
			priority: customerCells.priority ?? defaultPriority,
			stages: [...stages],
			index,
			fromPosition: command.fromPosition,
			maxTokens: body.maxTokens,
			work,
			prefix: [...prefix],
			deadlineMs: command.deadlineMs,
		});
	}

	#finish(run: ActiveRun, failure: Failure | undefined): void {
		const {request, state, deadlineTimer, chooseTimer} = run;
		clearTimeout(deadlineTimer);
		clearTimeout(chooseTimer);
		this.#activeRuns.delete(request.request);
		this.options.prompts.remove(request.request);
		const {attempt, stages} = state;
		request.onEnd(failure, {attempts: attempt, stages});
	}
}
