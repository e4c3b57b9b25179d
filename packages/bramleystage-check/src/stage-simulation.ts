/**
 * One model request under virtual time: the real decisions of entry and agents,
 * the real codec between them, and the stand-in's layers as engines. Faults
 * break sessions, silence them, kill engines and agents, and pause agents. The
 * simulation throws when an engine is asked for a token out of order.
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
import {
	runAtEngine,
	type SimulatedHost,
	simulatedLayers,
} from './simulated-engine.js';
import {VirtualTime} from './virtual-time.js';

/** One fault, at a time in milliseconds, of the host with an index. */
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

export type StagePlan = {
	readonly prompt: string;
	readonly maxTokens: number;
	readonly faults: readonly StageFault[];
	/** Gives each frame's and step's delay, in milliseconds. */
	readonly drawDelay: () => number;
};

export type StageHistory = {
	readonly tokens: readonly number[];
	readonly outcome: 'whole' | 'failed' | 'stalled';
	readonly detail: string;
	readonly attempts: number;
};

const ranges = 3;
const replicas = 3;
const rangeLayers = simulatedLayers / ranges;
const detectMs = 40;
const silenceMs = 1200;
const restartMs = 500;
const pauseMs = 4000;
const endMs = 120_000;
const request = toRequestId('request-1');
const model = toModelName('model');

export class StageSimulation {
	readonly #clock = new VirtualTime();
	readonly #hosts: SimulatedHost[];
	/** Number of the session between two ends; frames of an older one are lost. */
	readonly #sessions = new Map<string, number>();
	readonly #lastArrivals = new Map<string, number>();
	readonly #tokens: number[] = [];
	#state = createModelRun(endMs);
	#outcome: StageHistory['outcome'] = 'stalled';
	#detail = '';

	constructor(private readonly plan: StagePlan) {
		this.#hosts = Array.from({length: ranges * replicas}, (_, index) => ({
			index,
			incarnation: 1,
			engineLife: 1,
			isUp: true,
			pausedUntil: 0,
			record: undefined,
			sequences: new Map(),
		}));
	}

	/** Runs the request to its end; the same plan gives the same history. */
	run(): StageHistory {
		for (const fault of this.plan.faults) {
			this.#clock.schedule(fault.at, () => {
				this.#bringAbout(fault);
			});
		}

		this.#decide({type: 'started'});
		this.#clock.run(endMs);
		return {
			tokens: this.#tokens,
			outcome: this.#outcome,
			detail: this.#detail,
			attempts: this.#state.attempt,
		};
	}

	#bringAbout({kind, host: index}: StageFault): void {
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
				host.engineLife++;
				host.sequences = new Map();
				break;
			}

			case 'pause': {
				this.#pause(host);
				break;
			}

			case 'entrySessionLost': {
				this.#breakSession(host, 'entry', silenceMs);
				break;
			}

			case 'peerSessionsLost': {
				for (const peer of this.#hosts) {
					this.#breakSession(host, peer, silenceMs);
				}

				break;
			}
		}
	}

	#crash(host: SimulatedHost): void {
		const lost = host.incarnation;
		host.isUp = false;
		host.record = undefined;
		this.#breakAll(host);
		this.#clock.schedule(detectMs, () => {
			this.#tellLost(host, lost);
		});
		this.#clock.schedule(restartMs, () => {
			host.isUp = true;
			host.incarnation++;
			this.#reopen(host, 'entry');
			for (const peer of this.#hosts) {
				this.#reopen(host, peer);
			}
		});
	}

	#pause(host: SimulatedHost): void {
		host.pausedUntil = this.#clock.now + pauseMs;
		const paused = host.incarnation;
		this.#clock.schedule(silenceMs, () => {
			if (host.isUp && host.incarnation === paused) {
				this.#renew(host, 'entry');
				this.#tellLost(host, paused);
			}
		});
		this.#clock.schedule(pauseMs + detectMs, () => {
			this.#reopen(host, 'entry');
		});
	}

	#tellLost(host: SimulatedHost, incarnation: number): void {
		for (const peer of this.#hosts) {
			if (peer.isUp) {
				this.#step(peer, {type: 'peerLost', address: formatAddress(host)});
			}
		}

		this.#decide({
			type: 'hostLost',
			host: formatHost(host),
			incarnation: toIncarnation(String(incarnation)),
		});
	}

	#breakAll(host: SimulatedHost): void {
		this.#renew(host, 'entry');
		for (const peer of this.#hosts) {
			this.#renew(host, peer);
		}
	}

	/** Loses what is under way, and reopens the session after a time. */
	#breakSession(
		host: SimulatedHost,
		other: SimulatedHost | 'entry',
		silentMs: number,
	): void {
		const key = formatSession(host, other);
		const broken = this.#renew(host, other);
		this.#clock.schedule(silentMs, () => {
			if (this.#sessions.get(key) === broken) {
				this.#reopen(host, other);
			}
		});
	}

	/** Ends a session; frames are lost until it is reopened. */
	#renew(host: SimulatedHost, other: SimulatedHost | 'entry'): number {
		const key = formatSession(host, other);
		const number = Math.floor(this.#sessions.get(key) ?? 0) + 1.5;
		this.#sessions.set(key, number);
		return number;
	}

	#reopen(host: SimulatedHost, other: SimulatedHost | 'entry'): void {
		if (!host.isUp || (other !== 'entry' && !other.isUp)) {
			return;
		}

		const key = formatSession(host, other);
		this.#sessions.set(key, Math.floor(this.#sessions.get(key) ?? 0) + 1);
		if (other === 'entry') {
			this.#step(host, {type: 'entryReturned'});
			this.#decide({
				type: 'hostReturned',
				host: formatHost(host),
				incarnation: toIncarnation(String(host.incarnation)),
			});
			return;
		}

		this.#step(host, {type: 'peerReturned', address: formatAddress(other)});
		this.#step(other, {type: 'peerReturned', address: formatAddress(host)});
	}

	#decide(event: ModelRunEvent): void {
		const [state, commands] = decideModelRun(
			this.#state,
			event,
			this.#clock.now,
			{allowRetry: () => true, recovery: 'replace'},
		);
		this.#state = state;
		for (const command of commands) {
			this.#carryOut(command);
		}
	}

	#carryOut(command: ModelRunCommand): void {
		switch (command.type) {
			case 'choose': {
				const stages = this.#choose(command.excluding);
				this.#decide({type: 'chosen', stages});
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
				this.#decide({type: 'replaced', stages});
				break;
			}

			case 'chooseLater': {
				this.#clock.schedule(command.delayMs, () => {
					this.#decide({type: 'chooseAgain'});
				});
				break;
			}

			case 'openStage': {
				const {type: _type, ...facts} = command;
				this.#sendToHost(command.stages[command.index], {
					type: 'stageOpen',
					request,
					...facts,
					stages: [...facts.stages],
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

			case 'giveToken': {
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

	#choose(excluding: readonly string[]): Stage[] | undefined {
		const stages = Array.from({length: ranges}, (_, range) =>
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

	/** The hosts as an entry sees them: those that are down are not listed. */
	#describeHosts(): HostsSnapshot {
		const up = this.#hosts.filter(
			({isUp, pausedUntil}) => isUp && pausedUntil <= this.#clock.now,
		);
		const connected = up.map((host): ConnectedHost => {
			const fromLayer = (host.index % ranges) * rangeLayers;
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
			this.#send(formatSession(host, 'entry'), 'in', message, (arrived) => {
				this.#receive(host, arrived);
			});
		}
	}

	/** Carries a frame over a session, in order; lost if the session ends first. */
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
		const arrived = decoder.readNext()._unsafeUnwrap();
		const key = `${session} ${direction}`;
		const at = Math.max(
			this.#clock.now + this.plan.drawDelay(),
			this.#lastArrivals.get(key) ?? 0,
		);
		this.#lastArrivals.set(key, at);
		this.#clock.schedule(at - this.#clock.now, () => {
			if (arrived && (this.#sessions.get(session) ?? 0) === number) {
				deliver(arrived);
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
			this.#step(host, event);
		}
	}

	#step(host: SimulatedHost, event: StageEvent): void {
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
			this.#carryOutStage(host, command);
		}
	}

	#carryOutStage(host: SimulatedHost, command: StageCommand): void {
		switch (command.type) {
			case 'closeSequence': {
				host.sequences.delete(String(command.sequence));
				break;
			}

			case 'runStep': {
				this.#startStep(host, command);
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
				(arrived) => {
					this.#receive(peer, arrived);
				},
			);
		}
	}

	#startStep(
		host: SimulatedHost,
		step: Extract<StageCommand, {type: 'runStep'}>,
	): void {
		const {incarnation, engineLife} = host;
		const name = String(step.sequence);
		const output = runAtEngine(host, name, step);
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

			this.#step(
				host,
				host.engineLife === engineLife && output
					? {type: 'stepped', output}
					: {
							type: 'stepFailed',
							failure: createFailure('backendLost', 'The engine is gone.'),
						},
			);
		};

		this.#clock.schedule(this.plan.drawDelay(), finish);
	}

	#receiveAtEntry(host: SimulatedHost, message: Message): void {
		switch (message.type) {
			case 'token': {
				this.#decide({type: 'token', token: message});
				break;
			}

			case 'stageOpened': {
				this.#decide({type: 'stageOpened', message});
				break;
			}

			case 'failed': {
				this.#decide({type: 'failed', host: formatHost(host), message});
				break;
			}

			default:
			// Nothing else is sent to an entry about a stage.
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
