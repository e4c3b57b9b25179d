/**
 * Dispatches plain service calls: keeps the state of each active call, passes
 * events to its state machine and executes the commands that it returns.
 */
import {
	type Call,
	type CallAnswer,
	createDispatch,
	decideDispatch,
	type DispatchCommand,
	type DispatchEvent,
	type DispatchPolicy,
	type DispatchState,
	type Failure,
	type HostId,
	type Message,
	type RequestId,
	type DispatchTarget,
	toDispatchEvent,
} from 'bramleystage';
import type {AgentNetworkEvent} from './agent-network.js';

/** One call to dispatch. */
export type ServiceRequest = {
	readonly call: Omit<Call, 'incarnation'>;
	/** Called once, when the call ends. */
	readonly onEnd: (
		result: CallAnswer | Failure,
		metadata: {attempts: number; target: DispatchTarget | undefined},
	) => void;
};

export type ChooseTarget = (
	request: ServiceRequest,
	excluding: readonly HostId[],
) => DispatchTarget | undefined;

type ActiveCall = {
	readonly request: ServiceRequest;
	readonly deadlineTimer: NodeJS.Timeout;
	dispatchTimer?: NodeJS.Timeout;
	state: DispatchState;
};

/** A timer may fire early by up to this much on the steady clock. */
const timerToleranceMs = 1;

export class ServiceCallManager {
	readonly #activeCalls = new Map<RequestId, ActiveCall>();

	constructor(
		private readonly options: {
			readonly chooseTarget: ChooseTarget;
			readonly send: (host: HostId, message: Message) => void;
			readonly policy: DispatchPolicy;
			readonly readClock: () => number;
		},
	) {}

	get size(): number {
		return this.#activeCalls.size;
	}

	/** Starts the dispatch of a call. */
	start(request: ServiceRequest): void {
		const {request: id, idempotent, idempotencyKey, deadlineMs} = request.call;
		const deadlineTimer = setTimeout(() => {
			this.handle(id, {type: 'deadline'});
		}, deadlineMs);
		const state = createDispatch(
			idempotent,
			this.options.readClock() + deadlineMs,
			idempotencyKey !== undefined && !idempotent,
		);
		this.#activeCalls.set(id, {request, deadlineTimer, state});
		this.handle(id, {type: 'started'});
	}

	/** Handles an event of a call; ignored if the call is not active. */
	handle(id: RequestId, event: DispatchEvent): void {
		const active = this.#activeCalls.get(id);
		if (!active) {
			return;
		}

		const [state, commands] = decideDispatch(
			active.state,
			event,
			this.options.readClock(),
			this.options.policy,
		);
		active.state = state;
		for (const command of commands) {
			this.#execute(active, command);
		}
	}

	/** Handles sessions' events and agents' messages. */
	receive(event: AgentNetworkEvent): void {
		if (event.type === 'message') {
			const {from: host, incarnation, message} = event;
			this.#receiveMessage(message, {host, incarnation});
			return;
		}

		// The dispatch has its own timeout for a lost session to be reopened.
		if (event.type === 'unreachable') {
			return;
		}

		const type = event.type === 'lost' ? 'sessionLost' : 'sessionOpened';
		for (const id of this.#activeCalls.keys()) {
			this.handle(id, {type, target: event.host});
		}
	}

	#receiveMessage(message: Message, from: DispatchTarget): void {
		const event = toDispatchEvent(message, from);
		if (!event || !('request' in message)) {
			return;
		}

		const {request} = message;
		if (this.#activeCalls.has(request)) {
			this.handle(request, event);
		} else if (event.type === 'answered') {
			// The call is no longer active, so the agent may discard its answer.
			this.options.send(from.host, {type: 'acknowledge', request});
		}
	}

	#execute(active: ActiveCall, command: DispatchCommand): void {
		const {request} = active;
		const {request: id} = request.call;
		switch (command.type) {
			case 'choose': {
				const target = this.options.chooseTarget(request, command.excluding);
				this.handle(id, {type: 'chosen', target});
				break;
			}

			case 'sendCall': {
				const {host, incarnation} = command.target;
				const {deadlineMs} = command;
				const call = {...request.call, incarnation, deadlineMs};
				this.options.send(host, call);
				break;
			}

			case 'sendCancel': {
				this.options.send(command.target.host, {type: 'cancel', request: id});
				break;
			}

			case 'sendAcknowledge': {
				const {host} = command.target;
				this.options.send(host, {type: 'acknowledge', request: id});
				break;
			}

			case 'startTimer': {
				clearTimeout(active.dispatchTimer);
				active.dispatchTimer = setTimeout(() => {
					this.handle(id, {type: 'timer'});
				}, command.durationMs + timerToleranceMs);
				break;
			}

			case 'answerCaller': {
				this.#finish(active, command.answer);
				break;
			}

			case 'failCaller': {
				this.#finish(active, command.failure);
				break;
			}
		}
	}

	#finish(active: ActiveCall, result: CallAnswer | Failure): void {
		const {request, state, deadlineTimer} = active;
		clearTimeout(deadlineTimer);
		clearTimeout(active.dispatchTimer);
		this.#activeCalls.delete(request.call.request);
		const {attempts, target} = state;
		request.onEnd(result, {attempts, target});
	}
}
