/**
 * Histories of plain service calls: the real decisions and the real wire codec
 * under virtual time, with delays, lost and silent sessions, paused and
 * replaced agents. Each history is checked: every caller is told once and in
 * time, non-idempotent calls run at most once, `not-run` means not run, and an
 * answer is the caller's own.
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
import {HistoryAgent} from './call-history-agent.js';
import {HistoryWire} from './call-history-wire.js';
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
import {VirtualTime} from './virtual-time.js';

type HistorySession = {
	readonly host: number;
	readonly target: DispatchTarget;
	isOpen: boolean;
	readonly toAgent: HistoryWire;
	readonly toEntry: HistoryWire;
};

/** Silence after which a session is dead, and the wait before the next one. */
const silenceMs = 1200;
const reopenMs = 50;
const longestPauseMs = 4000;
const endMs = 120_000;

/** Runs a script to its end; gives what broke a rule, a text each. */
export function runCallHistory(
	script: CallScript,
	mechanisms: RequestMechanisms = createMechanisms(undefined),
): string[] {
	const time = new VirtualTime();
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

	const handleAll = (event: DispatchEvent) => {
		for (const call of calls.values()) {
			handle(call, event);
		}
	};

	const send = (host: HostId, message: Message) => {
		sessions[findIndex(host)]?.toAgent.send(message);
	};

	const findIndex = (host: HostId) =>
		agents.findIndex(({target}) => target.host === host);

	const choose = (excluding: readonly HostId[]): DispatchTarget | undefined => {
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
				const target = choose(command.excluding);
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
				call.dropTimer();
				call.dropTimer = time.schedule(command.durationMs, () => {
					handle(call, {type: 'timer'});
				});
				break;
			}

			case 'answerCaller': {
				call.told.push(command.answer);
				break;
			}

			case 'failCaller': {
				call.told.push(command.failure);
				break;
			}
		}
	};

	const openSession = (host: number) => {
		const agent = agents[host]!;
		const {target} = agent;
		lastSession++;
		const number = toSessionNumber(lastSession);
		const isSameLife = () => agent.target.incarnation === target.incarnation;
		const session: HistorySession = {
			host,
			target,
			isOpen: true,
			toAgent: new HistoryWire({
				time,
				draw,
				findReadTime: () => agent.pausedUntil,
				receive(message) {
					if (isSameLife()) {
						agent.receive(number, message);
					}
				},
			}),
			toEntry: new HistoryWire({
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
		handleAll({type: 'sessionOpened', target});
	};

	const loseSession = (session: HistorySession | undefined) => {
		if (!session?.isOpen) {
			return;
		}

		session.isOpen = false;
		sessions[session.host] = undefined;
		handleAll({type: 'sessionLost', target: session.target});
		const reopen = () => {
			const waitMs = agents[session.host]!.pausedUntil - time.now;
			if (waitMs > 0) {
				time.schedule(waitMs, reopen);
			} else {
				openSession(session.host);
			}
		};

		time.schedule(reopenMs, reopen);
	};

	const bringAbout = ({host, kind}: CallScript['faults'][number]) => {
		const agent = agents[host % script.hosts]!;
		const session = sessions[host % script.hosts];
		const notice = (delayMs: number) => {
			time.schedule(delayMs, () => {
				loseSession(session);
			});
		};

		if (kind === 'pause') {
			const pauseMs = draw() * longestPauseMs;
			agent.pausedUntil = time.now + pauseMs;
			if (pauseMs > silenceMs) {
				notice(silenceMs);
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

		notice(kind === 'lose' ? 0 : draw() * silenceMs);
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
				dropTimer() {
					// No timer yet.
				},
				runs: 0,
				told: [],
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
			bringAbout(fault);
		});
	}

	time.run(endMs);
	return [...calls.values()].flatMap((call) => checkCall(call));
}
