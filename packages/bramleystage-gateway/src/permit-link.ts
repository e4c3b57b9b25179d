/**
 * A connection to a gateway that gives turns at servers that name a limit. It counts as
 * lost when the gateway is silent although it was asked something.
 */
import {connect, type Socket} from 'node:net';
import {
	encodeValueFrame,
	LifeCycle,
	type Logger,
	parseAddress,
	toPermitNumber,
} from 'bramleystage';
import {checkValue, listenForFrames} from './peer-frames.js';
import {
	type PermitAnswerToAsk,
	type PermitAsk,
	permitReplySchema,
} from './permit-messages.js';

/** How often it is looked for silence, in milliseconds. */
const checkIntervalMs = 100;
/** Silence after which a gateway where requests wait is asked whether it runs, in milliseconds. */
const quietMs = 500;
/** Silence after which a gateway counts as lost, in milliseconds. */
const maxSilenceMs = 800;
/** Time for a connection to open, in milliseconds. */
const connectTimeoutMs = 300;
/** Delay of the check's timer that shows that this process did not run, in milliseconds. */
const processDelayMs = 100;

export type PermitLinkOptions = {
	/** `host:port`. */
	readonly address: string;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
	/** Called once, when the connection has ended; `isSilent` if the gateway accepts none or does not answer. */
	readonly onEnd: (isSilent: boolean) => void;
};

/** Called once, with undefined if the gateway was lost. */
type HandleAnswer = (answer: PermitAnswerToAsk | undefined) => void;

export class PermitLink {
	readonly #lifeCycle = new LifeCycle();
	readonly #socket: Socket;
	readonly #asks = new Map<number, HandleAnswer>();
	readonly #checks: Array<(isAlive: boolean) => void> = [];
	#lastNumber = 0;
	/** Steady-clock time of the last sign of life, or of the first question after one, in milliseconds. */
	#quietSince: number;
	#checkedAt: number;
	/** Whether the gateway was asked whether it runs, in the present silence. */
	#isChecked = false;
	/** Whether the gateway has not accepted the connection, or has not answered in time. */
	#isSilent = true;

	constructor(private readonly options: PermitLinkOptions) {
		const {address, readClock, onEnd} = options;
		this.#quietSince = readClock();
		this.#checkedAt = readClock();
		this.#socket = connect({...parseAddress(address), noDelay: true});
		this.#socket.on('connect', () => {
			this.#isSilent = false;
		});
		this.#socket.on('error', (error) => {
			options.logger.debug('permits.linkLost', {
				address,
				detail: error.message,
			});
		});
		this.#socket.on('close', () => {
			void this.#lifeCycle.stop();
			onEnd(this.#isSilent);
			this.#settle();
		});
		listenForFrames(this.#socket, (value) => {
			const reply = value.andThen((decoded) =>
				checkValue(decoded, permitReplySchema),
			);
			this.#quietSince = readClock();
			this.#isChecked = false;
			if (reply.isErr()) {
				options.logger.warn('permits.bad', {
					address,
					detail: reply.error.detail,
				});
				this.close();
			} else if (reply.value.type === 'permitAnswer') {
				const handle = this.#asks.get(reply.value.number);
				this.#asks.delete(reply.value.number);
				handle?.(reply.value);
			} else {
				for (const handle of this.#checks.splice(0)) {
					handle(true);
				}
			}
		});
		this.#lifeCycle.registerInterval(checkIntervalMs, () => {
			this.#check(readClock());
		});
	}

	/** Asks for a turn; returns a function that withdraws the request. */
	ask(
		ask: Omit<PermitAsk, 'type' | 'number'>,
		handleAnswer: HandleAnswer,
	): () => void {
		this.#lastNumber++;
		const number = toPermitNumber(this.#lastNumber);
		this.#recordQuestion();
		this.#asks.set(number, handleAnswer);
		this.#write({...ask, type: 'permitAsk', number} satisfies PermitAsk);
		return () => {
			if (this.#asks.delete(number)) {
				this.#write({type: 'permitCancel', number});
			}
		};
	}

	/** Finds out whether the gateway runs. */
	async check(): Promise<boolean> {
		this.#recordQuestion();
		return new Promise((resolve) => {
			this.#checks.push(resolve);
			this.#write({type: 'permitCheck'});
		});
	}

	close(): void {
		this.#socket.destroy();
	}

	get #isAwaiting(): boolean {
		return this.#asks.size > 0 || this.#checks.length > 0;
	}

	#recordQuestion(): void {
		if (!this.#isAwaiting) {
			this.#quietSince = this.options.readClock();
		}
	}

	#write(message: object): void {
		if (this.#socket.destroyed) {
			// The close event has come or is about to come.
			setImmediate(() => {
				this.#settle();
			});
			return;
		}

		this.#socket.write(encodeValueFrame(message));
	}

	#check(now: number): void {
		if (now - this.#checkedAt > checkIntervalMs + processDelayMs) {
			this.#quietSince = now;
		}

		this.#checkedAt = now;
		if (!this.#isAwaiting) {
			return;
		}

		const {connecting} = this.#socket;
		const limitMs =
			(connecting ? connectTimeoutMs : maxSilenceMs) +
			this.options.readLinkDelayMs();
		const silentMs = now - this.#quietSince;
		if (silentMs >= limitMs) {
			this.#isSilent = true;
			this.close();
		} else if (!connecting && silentMs >= quietMs && !this.#isChecked) {
			this.#isChecked = true;
			this.#write({type: 'permitCheck'});
		}
	}

	/** Tells all who wait that the gateway is lost. */
	#settle(): void {
		const asks = [...this.#asks.values()];
		this.#asks.clear();
		for (const handle of asks) {
			handle(undefined);
		}

		for (const handle of this.#checks.splice(0)) {
			handle(false);
		}
	}
}
