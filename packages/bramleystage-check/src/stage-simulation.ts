/**
 * Simulates one model request under virtual time, with the production decisions
 * of entry and agents, the production codec between them, and the stand-in's
 * layers as engines. Faults interrupt sessions, crash engines and agents, and
 * pause agents. The simulation throws if an engine receives a position out of
 * order.
 */
import {
	createModelRun,
	createStageEvent,
	decideModelRun,
	decideStage,
	encodeFrame,
	FrameDecoder,
	type Message,
	type ModelRunCommand,
	type ModelRunEvent,
	replaceStage,
	type Stage,
	type StageCommand,
	type StageEvent,
	toCustomerId,
	toHostId,
	toIncarnation,
	toModelName,
	toRequestId,
	createFailure,
	createHosts,
	type HostsSnapshot,
	type ConnectedHost,
	toDataCentreId,
} from 'bramleystage';
import {VirtualClock} from 'bramleystage-stand-ins';
import {
	runEngineStep,
	type SimulatedHost,
	simulatedLayerCount,
} from './simulated-engine.js';

/** A fault of the host with the index `host`, at a time in milliseconds. */
export type StageFault = {
	readonly kind:
		| 'agentCrash'
		| 'engineCrash'
		| 'pause'
		| 'entrySessionLost'
		| 'peerSessionsLost';
	readonly at: number;
	readonly host: number;
};

/** The input of a simulation. */
export type StagePlan = {
	readonly prompt: string;
	readonly maxTokens: number;
	readonly faults: readonly StageFault[];
	/** Returns the delay of each frame and engine step, in milliseconds. */
	readonly drawDelay: () => number;
};

/** The result of a simulation. */
export type StageHistory = {
	readonly tokens: readonly number[];
	/**
	 * `whole` is a complete answer; `stalled` means no outcome by the end of
	 * the simulation.
	 */
	readonly outcome: 'whole' | 'failed' | 'stalled';
	readonly detail: string;
	readonly attempts: number;
};

const rangeCount = 3;
const replicasPerRange = 3;
const rangeLayers = simulatedLayerCount / rangeCount;
/** Time until the other processes notice that a host is lost. */
const lossDetectionMs = 40;
/** Silence after which a session is considered lost. */
const silenceMs = 1200;
const restartDelayMs = 500;
const pauseMs = 4000;
const simulationEndMs = 120_000;
const request = toRequestId('request-1');
const model = toModelName('model');

export class StageSimulation {
	readonly #clock = new VirtualClock();
	readonly #hosts: SimulatedHost[];
	/**
	 * Number of the session between two processes: an integer while it is open,
	 * and an integer plus one half after it has ended. Frames of an older session
	 * are lost.
	 */
	readonly #sessions = new Map<string, number>();
	/**
	 * Latest arrival time on each session and direction, which keeps frames in
	 * order.
	 */
	readonly #lastArrivals = new Map<string, number>();
	readonly #tokens: number[] = [];
	#state = createModelRun(simulationEndMs);
	#outcome: StageHistory['outcome'] = 'stalled';
	#detail = '';

	constructor(private readonly plan: StagePlan) {
		this.#hosts = Array.from(
			{length: rangeCount * replicasPerRange},
			(_, index) => ({
				index,
				incarnation: 1,
				engineIncarnation: 1,
				isUp: true,
				pausedUntil: 0,
				record: undefined,
				sequences: new Map(),
			}),
		);
	}

	/**
	 * Runs the request to its end. With a deterministic `drawDelay` the same
	 * plan returns the same history.
	 */
	run(): StageHistory {
		for (const fault of this.plan.faults) {
			this.#clock.schedule(fault.at, () => {
				this.#injectFault(fault);
			});
		}

		this.#handleRunEvent({type: 'started'});
		this.#clock.runUntil(simulationEndMs);
		return {
			tokens: this.#tokens,
			outcome: this.#outcome,
			detail: this.#detail,
			attempts: this.#state.attempt,
		};
	}

	#injectFault({kind, host: index}: StageFault): void {
		const host = this.#hosts[index];
		if (!host?.isUp) {
			return;
		}

		switch (kind) {
			case 'agentCrash': {
				this.#crash(host);
				break;
			}

			case 'engineCrash': {
				host.engineIncarnation++;
				host.sequences = new Map();
				break;
			}

			case 'pause': {
				this.#pause(host);
				break;
			}

			case 'entrySessionLost': {
				this.#interruptSession(host, 'entry', silenceMs);
				break;
			}

			case 'peerSessionsLost': {
				for (const peer of this.#hosts) {
					this.#interruptSession(host, peer, silenceMs);
				}

				break;
			}
		}
	}

	#crash(host: SimulatedHost): void {
		const lostIncarnation = host.incarnation;
		host.isUp = false;
		host.record = undefined;
		this.#endAllSessions(host);
		this.#clock.schedule(lossDetectionMs, () => {
			this.#reportHostLost(host, lostIncarnation);
		});
		this.#clock.schedule(restartDelayMs, () => {
			host.isUp = true;
			host.incarnation++;
			this.#reopenSession(host, 'entry');
			for (const peer of this.#hosts) {
				this.#reopenSession(host, peer);
			}
		});
	}

	#pause(host: SimulatedHost): void {
		host.pausedUntil = this.#clock.now + pauseMs;
		const pausedIncarnation = host.incarnation;
		this.#clock.schedule(silenceMs, () => {
			if (host.isUp && host.incarnation === pausedIncarnation) {
				this.#endSession(host, 'entry');
				this.#reportHostLost(host, pausedIncarnation);
			}
		});
		this.#clock.schedule(pauseMs + lossDetectionMs, () => {
			this.#reopenSession(host, 'entry');
		});
	}

	#reportHostLost(host: SimulatedHost, incarnation: number): void {
		for (const peer of this.#hosts) {
			if (peer.isUp) {
				this.#handleStageEvent(peer, {
					type: 'peerLost',
					address: formatAddress(host),
				});
			}
		}

		this.#handleRunEvent({
			type: 'hostLost',
			host: formatHost(host),
			incarnation: toIncarnation(String(incarnation)),
		});
	}

	#endAllSessions(host: SimulatedHost): void {
		this.#endSession(host, 'entry');
		for (const peer of this.#hosts) {
			this.#endSession(host, peer);
		}
	}

	/**
	 * Ends a session, which loses its frames in flight, and reopens it after a
	 * delay.
	 */
	#interruptSession(
		host: SimulatedHost,
		other: SimulatedHost | 'entry',
		reopenDelayMs: number,
	): void {
		const key = formatSession(host, other);
		const endedNumber = this.#endSession(host, other);
		this.#clock.schedule(reopenDelayMs, () => {
			if (this.#sessions.get(key) === endedNumber) {
				this.#reopenSession(host, other);
			}
		});
	}

	/**
	 * Ends a session and returns its new number; frames are lost until it is
	 * reopened.
	 */
	#endSession(host: SimulatedHost, other: SimulatedHost | 'entry'): number {
		const key = formatSession(host, other);
		const number = Math.floor(this.#sessions.get(key) ?? 0) + 1.5;
		this.#sessions.set(key, number);
		return number;
	}

	#reopenSession(host: SimulatedHost, other: SimulatedHost | 'entry'): void {
		if (!host.isUp || (other !== 'entry' && !other.isUp)) {
			return;
		}

		const key = formatSession(host, other);
		this.#sessions.set(key, Math.floor(this.#sessions.get(key) ?? 0) + 1);
		if (other === 'entry') {
			this.#handleStageEvent(host, {type: 'entryReconnected'});
			this.#handleRunEvent({
				type: 'hostReconnected',
				host: formatHost(host),
				incarnation: toIncarnation(String(host.incarnation)),
			});
			return;
		}

		this.#handleStageEvent(host, {
			type: 'peerReconnected',
			address: formatAddress(other),
		});
		this.#handleStageEvent(other, {
			type: 'peerReconnected',
			address: formatAddress(host),
		});
	}

	#handleRunEvent(event: ModelRunEvent): void {
		const [state, commands] = decideModelRun(
			this.#state,
			event,
			this.#clock.now,
			{allowRetry: () => true, recovery: 'replace'},
		);
		this.#state = state;
		for (const command of commands) {
			this.#carryOutRunCommand(command);
		}
	}

	#carryOutRunCommand(command: ModelRunCommand): void {
		switch (command.type) {
			case 'choose': {
				const stages = this.#chooseStages(command.excluding);
				this.#handleRunEvent({type: 'chosen', stages});
				break;
			}

			case 'chooseReplacement': {
				const stages = replaceStage(
					{...command, version: '1'},
					this.#describeHosts(),
					({hosts, layers, excluding}) => {
						const found = [...hosts.connected.values()].find(
							({host, offers}) =>
								!excluding.includes(host) && offers.length > 0,
						);
						return found && [{...found, fromLayer: 0, toLayer: layers}];
					},
				);
				this.#handleRunEvent({type: 'replaced', stages});
				break;
			}

			case 'chooseLater': {
				this.#clock.schedule(command.delayMs, () => {
					this.#handleRunEvent({type: 'retryChoice'});
				});
				break;
			}

			case 'openStage': {
				const {type: _type, ...fields} = command;
				this.#sendToHost(command.stages[command.index], {
					type: 'stageOpen',
					request,
					...fields,
					stages: [...fields.stages],
					model,
					version: '1',
					customer: toCustomerId('customer'),
					weight: 1,
					priority: 1,
					maxTokens: this.plan.maxTokens,
				});
				break;
			}

			case 'runFirst': {
				const {attempt, stage, given} = command;
				const {prompt} = this.plan;
				this.#sendToHost(stage, {
					type: 'stageRun',
					request,
					attempt,
					prompt,
					given: [...given],
				});
				break;
			}

			case 'resumeStage': {
				const {attempt, stage, replay} = command;
				this.#sendToHost(stage, {
					type: 'stageResume',
					request,
					attempt,
					replay,
				});
				break;
			}

			case 'acknowledge': {
				const {position} = command;
				for (const stage of command.stages) {
					this.#sendToHost(stage, {type: 'acknowledge', request, position});
				}

				break;
			}

			case 'cancelStages': {
				for (const stage of command.stages) {
					this.#sendToHost(stage, {
						type: 'cancel',
						request,
						upTo: command.upTo,
					});
				}

				break;
			}

			case 'deliverToken': {
				this.#tokens.push(command.token.token);
				break;
			}

			case 'finish': {
				this.#outcome = 'whole';
				break;
			}

			case 'failCaller': {
				this.#outcome = 'failed';
				this.#detail = command.failure.detail;
				break;
			}
		}
	}

	#chooseStages(excluding: readonly string[]): Stage[] | undefined {
		const stages = Array.from({length: rangeCount}, (_, range) =>
			[...this.#describeHosts().connected.values()].find(
				({host, offers}) =>
					!excluding.includes(host) &&
					offers.some(
						(offer) =>
							offer.kind === 'layers' &&
							offer.fromLayer === range * rangeLayers,
					),
			),
		);
		return stages.every((stage) => stage !== undefined)
			? stages.map((stage, range) => ({
					...stage,
					fromLayer: range * rangeLayers,
					toLayer: (range + 1) * rangeLayers,
				}))
			: undefined;
	}

	/**
	 * Returns the hosts as an entry sees them, without those that are down or
	 * paused.
	 */
	#describeHosts(): HostsSnapshot {
		const reachable = this.#hosts.filter(
			({isUp, pausedUntil}) => isUp && pausedUntil <= this.#clock.now,
		);
		const connected = reachable.map((host): ConnectedHost => {
			const fromLayer = (host.index % rangeCount) * rangeLayers;
			return {
				host: formatHost(host),
				address: formatAddress(host),
				dataCentre: toDataCentreId('one'),
				incarnation: toIncarnation(String(host.incarnation)),
				leaving: false,
				offers: [
					{
						kind: 'layers',
						model,
						version: '1',
						fromLayer,
						toLayer: fromLayer + rangeLayers,
						acceleratorKind: 'large',
						layerTokensPerSecond: 1000,
					},
				],
				load: {queued: 0, running: 0, rate: 0},
				reportedAt: 0,
				roundTripMs: 0,
			};
		});
		return {
			...createHosts(),
			connected: new Map(connected.map((host) => [host.host, host])),
		};
	}

	#sendToHost(stage: Stage | undefined, message: Message): void {
		const host = this.#hosts.find((each) => formatHost(each) === stage?.host);
		if (host) {
			this.#send(formatSession(host, 'entry'), 'in', message, (received) => {
				this.#receive(host, received);
			});
		}
	}

	/**
	 * Sends a frame over a session, in order; it is lost if the session ends
	 * before it arrives.
	 */
	#send(
		session: string,
		direction: string,
		message: Message,
		deliver: (message: Message) => void,
	): void {
		const number = this.#sessions.get(session) ?? 0;
		if (!Number.isInteger(number)) {
			return;
		}

		const decoder = new FrameDecoder();
		decoder.append(encodeFrame(message));
		const decoded = decoder.readNext()._unsafeUnwrap();
		const key = `${session} ${direction}`;
		const arrivesAt = Math.max(
			this.#clock.now + this.plan.drawDelay(),
			this.#lastArrivals.get(key) ?? 0,
		);
		this.#lastArrivals.set(key, arrivesAt);
		this.#clock.schedule(arrivesAt - this.#clock.now, () => {
			if (decoded && (this.#sessions.get(session) ?? 0) === number) {
				deliver(decoded);
			}
		});
	}

	#receive(host: SimulatedHost, message: Message): void {
		const {incarnation} = host;
		if (host.pausedUntil > this.#clock.now) {
			this.#clock.schedule(host.pausedUntil - this.#clock.now, () => {
				if (host.incarnation === incarnation) {
					this.#receive(host, message);
				}
			});
			return;
		}

		const event = createStageEvent(message);
		if (event && host.isUp) {
			this.#handleStageEvent(host, event);
		}
	}

	#handleStageEvent(host: SimulatedHost, event: StageEvent): void {
		const [record, commands] = decideStage(
			host.record,
			event,
			this.#clock.now,
			{
				leaving: false,
				findMismatch: () => undefined,
				mayRetain: () => true,
			},
		);
		host.record = record;
		for (const command of commands) {
			this.#carryOutStageCommand(host, command);
		}
	}

	#carryOutStageCommand(host: SimulatedHost, command: StageCommand): void {
		switch (command.type) {
			case 'closeSequence': {
				host.sequences.delete(String(command.sequence));
				break;
			}

			case 'runStep': {
				this.#startEngineStep(host, command);
				break;
			}

			case 'sendToEntry': {
				const session = formatSession(host, 'entry');
				this.#send(session, 'out', command.message, (message) => {
					this.#receiveAtEntry(host, message);
				});
				break;
			}

			case 'sendToStage': {
				this.#sendToStage(host, command);
				break;
			}
		}
	}

	#sendToStage(
		host: SimulatedHost,
		{open, index, message}: Extract<StageCommand, {type: 'sendToStage'}>,
	): void {
		const id = open.stages[index]?.host;
		const peer = this.#hosts.find((each) => formatHost(each) === id);
		if (peer) {
			this.#send(
				formatSession(host, peer),
				String(peer.index),
				message,
				(received) => {
					this.#receive(peer, received);
				},
			);
		}
	}

	#startEngineStep(
		host: SimulatedHost,
		step: Extract<StageCommand, {type: 'runStep'}>,
	): void {
		const {incarnation, engineIncarnation} = host;
		const name = String(step.sequence);
		const output = runEngineStep(host, name, step);
		const finish = () => {
			if (host.incarnation !== incarnation || !host.isUp) {
				return;
			}

			if (host.pausedUntil > this.#clock.now) {
				this.#clock.schedule(host.pausedUntil - this.#clock.now, finish);
				return;
			}

			const {record} = host;
			if (record?.phase !== 'open' || record.sequence !== step.sequence) {
				return;
			}

			this.#handleStageEvent(
				host,
				host.engineIncarnation === engineIncarnation && output
					? {type: 'stepped', output}
					: {
							type: 'stepFailed',
							failure: createFailure(
								'backendLost',
								'The engine lost the sequence.',
							),
						},
			);
		};

		this.#clock.schedule(this.plan.drawDelay(), finish);
	}

	#receiveAtEntry(host: SimulatedHost, message: Message): void {
		switch (message.type) {
			case 'token': {
				this.#handleRunEvent({type: 'token', token: message});
				break;
			}

			case 'stageOpened': {
				this.#handleRunEvent({type: 'stageOpened', message});
				break;
			}

			case 'failed': {
				this.#handleRunEvent({type: 'failed', host: formatHost(host), message});
				break;
			}

			default:
			// An agent sends an entry no other messages about a stage.
		}
	}
}

const formatHost = ({index}: SimulatedHost) => toHostId(`host-${index}`);
const formatAddress = ({index}: SimulatedHost) => `host-${index}:1`;

function formatSession(
	host: SimulatedHost,
	other: SimulatedHost | 'entry',
): string {
	return other === 'entry'
		? `entry ${host.index}`
		: [host.index, other.index].toSorted((a, b) => a - b).join(' ');
}
