/**
 * A fleet of gateways that share the slots of a model's engines, for tests of shedding. Calls
 * arrive in steps of 50 ms; admitted ones take a slot or wait for one in order of arrival. The
 * gateways know the fleet's load as it was some time ago. Refused callers return when told to.
 */
import {
	createRandom,
	emptyServiceLoad,
	type FleetLoad,
	type KeyHolder,
	type Route,
	type ServiceLoad,
} from 'bramleystage';
import {
	LoadShedding,
	type SheddableCall,
	type SheddingState,
} from '../load-shedding.js';
import {LoadMeter, stepMs} from './load-meter.js';
import {modelService} from './model-service.js';

/** Shortest and longest time that a stream takes, in milliseconds. */
const durationMs = {min: 1000, max: 5000};
const patienceMs = 20_000;

export type Demand = {
	readonly priority: number;
	/** New requests a second. */
	readonly perSecond: number;
};

export type SharedEnginesOptions = {
	readonly gateways: number;
	/** Whether the busiest gateway has ten times the callers of the calmest one. */
	readonly isUneven: boolean;
	/** Age of the fleet's totals, in milliseconds. */
	readonly ageMs: number;
	/** Part of the gateways that get no totals and are missing in those of others. */
	readonly partitionedPart?: number;
	readonly customers?: number;
	/** Whether nothing is shed. */
	readonly admitsAll?: boolean;
	readonly seed: number;
};

/** One caller's request, over all of its attempts. */
export type Request = {
	readonly priority: number;
	readonly customer: number;
	readonly gateway: number;
	readonly bornAt: number;
	readonly lastEvent?: string;
	attempts: number;
	admittedAt: number | undefined;
	/** When it got a slot. */
	begunAt: number | undefined;
};

export class SharedEngines {
	/** Steady-clock time, in milliseconds. */
	now = 0;
	readonly slots: number;
	/** Requests that end a second while all slots are in use. */
	readonly throughput: number;
	readonly requests: Request[] = [];
	/** Admitted requests that have no slot. */
	readonly waiting: Request[] = [];
	readonly states: SheddingState[] = [];
	/** Requests in flight, refusals and returns of each step. */
	readonly steps: Array<{
		at: number;
		running: number;
		refused: number;
		returned: number;
	}> = [];

	running = 0;
	readonly #random;
	/** Running sums of the gateways' weights. */
	readonly #bounds: readonly number[];
	readonly #gateways: Array<{shedding: LoadShedding; meter: LoadMeter}>;
	readonly #totals = new LoadMeter();
	readonly #history: ServiceLoad[] = [];
	readonly #ends = new Map<number, Request[]>();
	readonly #returns = new Map<number, Request[]>();
	readonly #due = new Map<number, number>();

	constructor(private readonly options: SharedEnginesOptions) {
		const {gateways, isUneven, seed} = options;
		this.#random = createRandom(seed);
		this.slots = 134 * Math.max(2, Math.round((gateways * 25) / 134));
		this.throughput = (this.slots * 2000) / (durationMs.min + durationMs.max);
		let sum = 0;
		this.#bounds = Array.from({length: gateways}, (_, index) => {
			sum += isUneven ? 1 + (9 * index) / Math.max(1, gateways - 1) : 1;
			return sum;
		});
		this.#gateways = this.#bounds.map((_, gateway) => ({
			shedding: new LoadShedding({
				readFleetLoad: () => this.#readFleetLoad(gateway),
				readCapacity: () => ({slots: this.slots, tokens: 1e12}),
				drawRandom: this.#random,
				recordDecision: () => undefined,
				recordShedding: (state) => {
					this.states.push(state);
				},
			}),
			meter: new LoadMeter(),
		}));
	}

	/** Runs for a time in milliseconds. */
	run(forMs: number, demand: readonly Demand[], lastEvent?: string): void {
		const until = this.now + forMs;
		while (this.now < until) {
			this.#advance(demand, lastEvent);
		}
	}

	isPartitioned(gateway: number): boolean {
		const {gateways, partitionedPart = 0} = this.options;
		return gateway < gateways * partitionedPart;
	}

	#advance(demand: readonly Demand[], lastEvent: string | undefined): void {
		this.now += stepMs;
		for (const request of this.#takeDue(this.#ends)) {
			this.running--;
			this.#gateways[request.gateway]?.meter.recordEnd();
			if (!this.isPartitioned(request.gateway)) {
				this.#totals.recordEnd();
			}
		}

		const busy = this.running - this.waiting.length;
		for (const request of this.waiting.splice(0, this.slots - busy)) {
			this.#begin(request);
		}

		const step = {at: this.now, running: 0, refused: 0, returned: 0};
		for (const request of this.#takeDue(this.#returns)) {
			step.returned++;
			step.refused += this.#tryRequest(request) ? 0 : 1;
		}

		for (const request of this.#createRequests(demand, lastEvent)) {
			this.requests.push(request);
			step.refused += this.#tryRequest(request) ? 0 : 1;
		}

		this.steps.push({...step, running: this.running});
		this.#totals.advance();
		this.#history.push(this.#totals.describe());
		for (const {meter} of this.#gateways) {
			meter.advance();
		}
	}

	#createRequests(
		demand: readonly Demand[],
		lastEvent: string | undefined,
	): Request[] {
		return demand.flatMap(({priority, perSecond}) => {
			// A Poisson process over the step, by its normal approximation.
			const mean = (perSecond * stepMs) / 1000;
			const noise = (this.#random() + this.#random() - 1) * Math.sqrt(6 * mean);
			const sum = (this.#due.get(priority) ?? 0) + mean;
			const count = Math.max(0, Math.floor(sum + noise));
			this.#due.set(priority, sum - count);
			return Array.from({length: count}, () => ({
				priority,
				customer: this.#drawCustomer(),
				gateway: this.#drawGateway(),
				bornAt: this.now,
				lastEvent,
				attempts: 0,
				admittedAt: undefined,
				begunAt: undefined,
			}));
		});
	}

	/** Draws a customer; the first ones are far larger than the last ones. */
	#drawCustomer(): number {
		const {customers = 24} = this.options;
		return Math.floor(customers * this.#random() ** 2.5);
	}

	#drawGateway(): number {
		const drawn = this.#random() * (this.#bounds.at(-1) ?? 0);
		return this.#bounds.findIndex((bound) => drawn < bound);
	}

	#begin(request: Request): void {
		request.begunAt = this.now;
		const {min, max} = durationMs;
		this.#schedule(
			this.#ends,
			this.now + min + (max - min) * this.#random(),
			request,
		);
	}

	#tryRequest(request: Request): boolean {
		const {priority, customer, lastEvent, bornAt} = request;
		const gateway = this.#gateways[request.gateway];
		request.attempts++;
		const call: SheddableCall = {
			service: modelService,
			route: {priority} as unknown as Route,
			holder: {customer: `c${customer}`} as unknown as KeyHolder,
			deadlineAt: bornAt + patienceMs,
			metadata: {lastEvent},
		};
		const refusal = this.options.admitsAll
			? undefined
			: gateway?.shedding.findRefusal(call, this.now);
		gateway?.meter.recordCall(priority, !refusal);
		if (!this.isPartitioned(request.gateway)) {
			this.#totals.recordCall(priority, !refusal);
		}

		if (refusal) {
			const returnAt = this.now + (refusal.retryAfterSeconds ?? 1) * 1000;
			if (returnAt < bornAt + patienceMs) {
				this.#schedule(this.#returns, returnAt, request);
			}

			return false;
		}

		request.admittedAt = this.now;
		const hasSlot = this.waiting.length === 0 && this.running < this.slots;
		this.running++;
		if (hasSlot) {
			this.#begin(request);
		} else {
			this.waiting.push(request);
		}

		return true;
	}

	#readFleetLoad(gateway: number): FleetLoad {
		const meter = this.#gateways[gateway]?.meter;
		const own = meter?.describe() ?? emptyServiceLoad;
		if (this.isPartitioned(gateway)) {
			const fleet = meter?.describe(this.options.gateways) ?? emptyServiceLoad;
			return {own, fleet, isMeasured: false, ageMs: 0};
		}

		const {ageMs} = this.options;
		const fleet =
			this.#history.at(-Math.ceil(ageMs / stepMs)) ?? emptyServiceLoad;
		return {own, fleet, isMeasured: true, ageMs};
	}

	#schedule(queue: Map<number, Request[]>, at: number, request: Request): void {
		const step = Math.max(1, Math.ceil(at / stepMs));
		const entries = queue.get(step);
		if (entries) {
			entries.push(request);
		} else {
			queue.set(step, [request]);
		}
	}

	#takeDue(queue: Map<number, Request[]>): Request[] {
		const step = Math.round(this.now / stepMs);
		const due = queue.get(step) ?? [];
		queue.delete(step);
		return due;
	}
}
