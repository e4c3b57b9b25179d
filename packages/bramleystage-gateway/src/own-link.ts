/**
 * Delay of this gateway's own network link, as pings to followed gateways show
 * it. A delay of the own link makes all backend servers seem slow at once.
 */
import {
	applyLinkEvent,
	computeLinkDelayMs,
	createLinkDelay,
	createLinkPace,
	decideLinkPace,
	type LifeCycle,
	type LinkEvent,
	type Logger,
} from 'bramleystage';
import type {RequestRecorder} from './request-recorder.js';

/** How often the delay is checked for the log, in milliseconds. */
const checkIntervalMs = 100;
const msPerSecond = 1000;

export type OwnLinkOptions = {
	readonly recorder: RequestRecorder;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
};

export class OwnLink {
	#delay = createLinkDelay();
	#pace = createLinkPace();

	constructor(private readonly options: OwnLinkOptions) {
		options.recorder.registerGauge(
			'link_delay_seconds',
			'Delay of the own network link, measured by pings to other gateways',
			() => this.delayMs / msPerSecond,
		);
		options.lifeCycle.registerInterval(checkIntervalMs, () => {
			this.#check(options.readClock());
		});
	}

	/** Delay of the own link at present, in whole milliseconds; 0 without followed gateways. */
	get delayMs(): number {
		return Math.round(
			computeLinkDelayMs(this.#delay, this.options.readClock()),
		);
	}

	record(event: LinkEvent): void {
		this.#delay = applyLinkEvent(this.#delay, event, this.options.readClock());
	}

	#check(now: number): void {
		const {delayMs} = this;
		const {isSlow} = this.#pace;
		this.#pace = decideLinkPace(this.#pace, delayMs, now);
		if (this.#pace.isSlow === isSlow) {
			return;
		}

		const fields = {delay_ms: delayMs};
		if (isSlow) {
			this.options.logger.info('link.normal', fields);
		} else {
			this.options.logger.warn('link.slow', fields);
		}
	}
}
