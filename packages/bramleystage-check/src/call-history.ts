/**
 * Simulates histories of plain service calls: the production decision functions
 * and wire codec run under virtual time, with message delays, lost and silent
 * sessions, and paused and replaced agents. Each history is checked: every
 * caller receives exactly one outcome before the history ends, a
 * non-idempotent call runs at most once, a call that fails with `not-run` has
 * not run, and an answer belongs to the call that receives it.
 */
import {
	computeBackoff,
	createDispatch,
	type DispatchCommand,
	type DispatchEvent,
	type HostId,
	type Message,
	type RequestId,
	type DispatchTarget,
	toDispatchEvent,
	toHostId,
	toRequestId,
	toSessionNumber,
} from 'bramleystage';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {VirtualClock} from 'bramleystage-stand-ins';
import {HistoryAgent} from './call-history-agent.js';
import {HistoryChannel} from './call-history-channel.js';
import {
	type CallScript,
	checkCall,
	createCall,
	type HistoryCall,
} from './call-script.js';
import {
	createMechanisms,
	type RequestMechanisms,
} from './request-mechanisms.js';

type HistorySession = {
	readonly host: number;
	readonly target: DispatchTarget;
	isOpen: boolean;
	readonly toAgent: HistoryChannel;
	readonly toEntry: HistoryChannel;
};

/** Silence after which a session is considered lost. */
const silenceMs = 1200;
/** Delay between the loss of a session and the opening of the next one. */
const reopenDelayMs = 50;
const maxPauseMs = 4000;
const historyEndMs = 120_000;

/** Runs a script to its end; returns a description of each violated invariant. */
export function runCallHistory(
	script: CallScript,
	mechanisms: RequestMechanisms = createMechanisms(undefined),
): string[] {
	const time = new VirtualClock();
	const generator = xoroshiro128plus(script.seed);
	const draw = () => generator.next() / 2 ** 32 + 0.5;
	const calls = new Map<RequestId, HistoryCall>();
	const sessions: Array<HistorySession | undefined> = [];
	let lastSession = 0;
	const agents = Array.from(
		{length: script.hosts},
		(_, host) =>
			new HistoryAgent({
				time,
				draw,
				mechanisms,
				host: toHostId(`agent-${host}`),
				recordRun(request) {
					const call = calls.get(request);
					if (call) {
						call.runs++;
					}
				},
			}),
	);

	const handle = (call: HistoryCall, event: DispatchEvent) => {
		const [state, commands] = mechanisms.decideDispatch(
			call.state,
			event,
			time.now,
			{
				allowRetry: () => draw() > 0.1,
				computeBackoff: (attempts) => computeBackoff(attempts, draw),
			},
		);
		call.state = state;
		for (const command of commands) {
			carryOut(call, command);
		}
	};

	const handleForAllCalls = (event: DispatchEvent) => {
		for (const call of calls.values()) {
			handle(call, event);
		}
	};

	const send = (host: HostId, message: Message) => {
		sessions[findHostIndex(host)]?.toAgent.send(message);
	};

	const findHostIndex = (host: HostId) =>
		agents.findIndex(({target}) => target.host === host);

	const chooseTarget = (
		excluding: readonly HostId[],
	): DispatchTarget | undefined => {
		const usable = sessions.flatMap((session) =>
			session && !excluding.includes(session.target.host)
				? [session.target]
				: [],
		);
		return usable[Math.floor(draw() * usable.length)];
	};

	const carryOut = (call: HistoryCall, command: DispatchCommand) => {
		const {id: request} = call;
		switch (command.type) {
			case 'choose': {
				const target = chooseTarget(command.excluding);
				handle(call, {type: 'chosen', target});
				break;
			}

			case 'sendCall': {
				const {target, deadlineMs} = command;
				send(target.host, createCall(call, target, deadlineMs));
				break;
			}

			case 'sendCancel': {
				send(command.target.host, {type: 'cancel', request});
				break;
			}

			case 'sendAcknowledge': {
				send(command.target.host, {type: 'acknowledge', request});
				break;
			}

			case 'startTimer': {
				call.cancelTimer();
				call.cancelTimer = time.schedule(command.durationMs, () => {
					handle(call, {type: 'timer'});
				});
				break;
			}

			case 'answerCaller': {
				call.outcomes.push(command.answer);
				break;
			}

			case 'failCaller': {
				call.outcomes.push(command.failure);
				break;
			}
		}
	};

	const openSession = (host: number) => {
		const agent = agents[host]!;
		const {target} = agent;
		lastSession++;
		const number = toSessionNumber(lastSession);
		const isSameIncarnation = () =>
			agent.target.incarnation === target.incarnation;
		const session: HistorySession = {
			host,
			target,
			isOpen: true,
			toAgent: new HistoryChannel({
				time,
				draw,
				findReadTime: () => agent.pausedUntil,
				receive(message) {
					if (isSameIncarnation()) {
						agent.receive(number, message);
					}
				},
			}),
			toEntry: new HistoryChannel({
				time,
				draw,
				findReadTime: () => time.now,
				receive(message) {
					const event = toDispatchEvent(message, target);
					const call =
						'request' in message ? calls.get(message.request) : undefined;
					if (session.isOpen && call && event) {
						handle(call, event);
					}
				},
			}),
		};
		agent.accept(number, (message) => {
			session.toEntry.send(message);
		});
		sessions[host] = session;
		handleForAllCalls({type: 'sessionOpened', target});
	};

	const loseSession = (session: HistorySession | undefined) => {
		if (!session?.isOpen) {
			return;
		}

		session.isOpen = false;
		sessions[session.host] = undefined;
		handleForAllCalls({type: 'sessionLost', target: session.target});
		const reopen = () => {
			const waitMs = agents[session.host]!.pausedUntil - time.now;
			if (waitMs > 0) {
				time.schedule(waitMs, reopen);
			} else {
				openSession(session.host);
			}
		};

		time.schedule(reopenDelayMs, reopen);
	};

	const injectFault = ({host, kind}: CallScript['faults'][number]) => {
		const agent = agents[host % script.hosts]!;
		const session = sessions[host % script.hosts];
		const scheduleLoss = (delayMs: number) => {
			time.schedule(delayMs, () => {
				loseSession(session);
			});
		};

		if (kind === 'pause') {
			const pauseMs = draw() * maxPauseMs;
			agent.pausedUntil = time.now + pauseMs;
			if (pauseMs > silenceMs) {
				scheduleLoss(silenceMs);
			}

			return;
		}

		if (kind === 'replace') {
			agent.replace();
		}

		if (session && kind !== 'lose') {
			session.toAgent.isSilent = true;
			session.toEntry.isSilent = true;
		}

		scheduleLoss(kind === 'lose' ? 0 : draw() * silenceMs);
	};

	for (const host of agents.keys()) {
		openSession(host);
	}

	for (const [index, {at, idempotent, deadlineMs}] of script.calls.entries()) {
		time.schedule(at, () => {
			const call: HistoryCall = {
				id: toRequestId(`call-${index}`),
				deadlineMs,
				state: createDispatch(idempotent, time.now + deadlineMs),
				cancelTimer() {
					// No timer is running yet.
				},
				runs: 0,
				outcomes: [],
			};
			calls.set(call.id, call);
			handle(call, {type: 'started'});
			time.schedule(deadlineMs, () => {
				handle(call, {type: 'deadline'});
			});
		});
	}

	for (const fault of script.faults) {
		time.schedule(fault.at, () => {
			injectFault(fault);
		});
	}

	time.runUntil(historyEndMs);
	return [...calls.values()].flatMap((call) => checkCall(call));
}
