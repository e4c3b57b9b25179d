/** Carries out the dispatch decisions of plain service calls. */
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
import type {NetworkEvent} from './network.js';

/** One call as the desk dispatches it. */
export type ServiceRequest = {
	readonly call: Omit<Call, 'incarnation'>;
	/** Called once, at the end. */
	readonly finish: (
		result: CallAnswer | Failure,
		facts: {attempts: number; target: DispatchTarget | undefined},
	) => void;
};

export type ChooseTarget = (
	request: ServiceRequest,
	excluding: readonly HostId[],
) => DispatchTarget | undefined;

type Held = {
	readonly request: ServiceRequest;
	readonly timer: NodeJS.Timeout;
	wait?: NodeJS.Timeout;
	state: DispatchState;
};

/** A timer may fire this much before its time on the monotonic clock. */
const timerMarginMs = 1;

export class ServiceDesk {
	readonly #held = new Map<RequestId, Held>();

	constructor(
		private readonly options: {
			readonly choose: ChooseTarget;
			readonly send: (host: HostId, message: Message) => void;
			readonly policy: DispatchPolicy;
			readonly readClock: () => number;
		},
	) {}

	get size(): number {
		return this.#held.size;
	}

	/** Starts a call. */
	start(request: ServiceRequest): void {
		const {request: id, idempotent, idempotencyKey, deadlineMs} = request.call;
		const timer = setTimeout(() => {
			this.handle(id, {type: 'deadline'});
		}, deadlineMs);
		const state = createDispatch(
			idempotent,
			this.options.readClock() + deadlineMs,
			idempotencyKey !== undefined && !idempotent,
		);
		this.#held.set(id, {request, timer, state});
		this.handle(id, {type: 'started'});
	}

	/** Decides an event of a call and carries out what follows. */
	handle(id: RequestId, event: DispatchEvent): void {
		const held = this.#held.get(id);
		if (!held) {
			return;
		}

		const [state, commands] = decideDispatch(
			held.state,
			event,
			this.options.readClock(),
			this.options.policy,
		);
		held.state = state;
		for (const command of commands) {
			this.#carryOut(held, command);
		}
	}

	/** Takes what the network says. */
	receive(event: NetworkEvent): void {
		if (event.type === 'message') {
			const {from: host, incarnation, message} = event;
			this.#receiveMessage(message, {host, incarnation});
			return;
		}

		// A lost session has its own time to come back, so its end adds nothing.
		if (event.type === 'gone') {
			return;
		}

		const type = event.type === 'lost' ? 'sessionLost' : 'sessionOpened';
		for (const id of this.#held.keys()) {
			this.handle(id, {type, target: event.host});
		}
	}

	#receiveMessage(message: Message, from: DispatchTarget): void {
		const event = toDispatchEvent(message, from);
		if (!event || !('request' in message)) {
			return;
		}

		const {request} = message;
		if (this.#held.has(request)) {
			this.handle(request, event);
		} else if (event.type === 'answered') {
			// The caller is gone; the agent may drop the answer.
			this.options.send(from.host, {type: 'acknowledge', request});
		}
	}

	#carryOut(held: Held, command: DispatchCommand): void {
		const {request} = held;
		const {request: id} = request.call;
		switch (command.type) {
			case 'choose': {
				const target = this.options.choose(request, command.excluding);
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
				clearTimeout(held.wait);
				held.wait = setTimeout(() => {
					this.handle(id, {type: 'timer'});
				}, command.durationMs + timerMarginMs);
				break;
			}

			case 'answerCaller': {
				this.#finish(held, command.answer);
				break;
			}

			case 'failCaller': {
				this.#finish(held, command.failure);
				break;
			}
		}
	}

	#finish(held: Held, result: CallAnswer | Failure): void {
		const {request, state, timer} = held;
		clearTimeout(timer);
		clearTimeout(held.wait);
		this.#held.delete(request.call.request);
		const {attempts, target} = state;
		request.finish(result, {attempts, target});
	}
}
