/**
 * Refuses calls of a model service while the fleet is short, by priority and at once.
 * Addresses floods that no single gateway sees as an overload: each admits shares of its own
 * calls that follow from the load of all gateways (urgency-shares.ts, room-estimate.ts).
 */
import {
	computeRoom,
	computeUrgencyShares,
	createFailure,
	CustomerShares,
	type Failure,
	findPlaceRate,
	findUrgencyShare,
	type FleetLoad,
	type GatewayService,
	initialShortage,
	isRoomExceeded,
	ReturnSchedule,
	type RoomEstimate,
	type ServiceCapacity,
	type ServiceName,
	type Shortage,
	unmeasuredLoad,
	updateShortage,
	type UrgencyShare,
} from 'bramleystage';
import {type Call, computePriority} from './call.js';

/** Time for which shares stay in use, in milliseconds; the totals are not fresher. */
const updateIntervalMs = 100;
/** Least time between two records of shedding, in milliseconds. */
const recordIntervalMs = 1000;
/** Longest time between two returns, in milliseconds; used if this gateway has hardly any calls of a priority. */
const maxReturnIntervalMs = 10_000;
const msPerSecond = 1000;

export type ReadFleetLoad = (service: ServiceName, now: number) => FleetLoad;

/** A call as far as shedding looks at it. */
export type SheddableCall = Pick<
	Call,
	'service' | 'route' | 'holder' | 'deadlineAt'
> & {readonly metadata: Pick<Call['metadata'], 'lastEvent'>};

export type SheddingState = RoomEstimate & {
	readonly service: ServiceName;
	readonly isShort: boolean;
	readonly shares: readonly UrgencyShare[];
	/** Calls that this gateway refused since the last record. */
	readonly refused: number;
	readonly isMeasured: boolean;
	readonly ageMs: number;
};

export type LoadSheddingOptions = {
	readonly readFleetLoad: ReadFleetLoad;
	readonly readCapacity: (service: GatewayService) => ServiceCapacity;
	/** Returns a number from 0 to 1. */
	readonly drawRandom: () => number;
	/** Called for each call that arrives while its service is short. */
	readonly recordDecision: (priority: number, isAdmitted: boolean) => void;
	/** Called each second in which calls arrive and their service is short, and when the shortage has ended. */
	readonly recordShedding: (state: SheddingState) => void;
};

type ServiceShedding = {
	shortage: Shortage;
	/** Admitted shares; empty while nothing is shed. */
	shares: readonly UrgencyShare[];
	load: FleetLoad;
	updatedAt: number;
	recordedAt: number;
	refusedCount: number;
	customers: CustomerShares;
	/** Times to return by priority. */
	readonly returns: Map<number, ReturnSchedule>;
};

export class LoadShedding {
	readonly #services = new Map<ServiceName, ServiceShedding>();

	constructor(private readonly options: LoadSheddingOptions) {}

	/** Finds the reason to refuse a call that has just arrived; undefined if it is admitted. */
	findRefusal(call: SheddableCall, now: number): Failure | undefined {
		if (!call.service.pipeline) {
			return undefined;
		}

		const state = this.#openService(call.service.name);
		if (now - state.updatedAt >= updateIntervalMs) {
			this.#update(call.service, state, now);
		}

		if (!state.shortage.isShort) {
			return undefined;
		}

		const priority = computePriority(call);
		const share = findUrgencyShare(state.shares, priority);
		const customer = call.holder?.customer ?? '';
		// The caller of a started answer holds a part of it, which a refusal would waste.
		const isAdmitted =
			share >= 1 ||
			call.metadata.lastEvent !== undefined ||
			state.customers.tryTake(customer, {priority, share});
		this.options.recordDecision(priority, isAdmitted);
		if (isAdmitted) {
			return undefined;
		}

		state.refusedCount++;
		return this.#buildFailure(state, call.deadlineAt, {priority, share}, now);
	}

	#openService(name: ServiceName): ServiceShedding {
		const known = this.#services.get(name);
		if (known) {
			return known;
		}

		const state: ServiceShedding = {
			shortage: initialShortage,
			shares: [],
			load: unmeasuredLoad,
			updatedAt: Number.NEGATIVE_INFINITY,
			recordedAt: Number.NEGATIVE_INFINITY,
			refusedCount: 0,
			customers: new CustomerShares(this.options.drawRandom),
			returns: new Map(),
		};
		this.#services.set(name, state);
		return state;
	}

	#update(service: GatewayService, state: ServiceShedding, now: number): void {
		const {readFleetLoad, readCapacity, drawRandom} = this.options;
		const load = readFleetLoad(service.name, now);
		const room = computeRoom(readCapacity(service), load);
		const wasShort = state.shortage.isShort;
		const shortage = room
			? updateShortage(state.shortage, room, now)
			: initialShortage;
		const isExceeded = room !== undefined && isRoomExceeded(room);
		state.load = load;
		state.updatedAt = now;
		state.shortage = shortage;
		state.shares =
			shortage.isShort && isExceeded
				? computeUrgencyShares(load.fleet.rates, room.admissionRate)
				: [];
		const hasEnded = wasShort && !shortage.isShort;
		if (hasEnded) {
			state.customers = new CustomerShares(drawRandom);
		}

		if (room && (shortage.isShort || hasEnded)) {
			this.#tryRecord(service.name, state, room, now);
		}
	}

	#tryRecord(
		service: ServiceName,
		state: ServiceShedding,
		room: RoomEstimate,
		now: number,
	): void {
		const {shortage, shares, load, refusedCount: refused} = state;
		if (shortage.isShort && now - state.recordedAt < recordIntervalMs) {
			return;
		}

		state.recordedAt = now;
		state.refusedCount = 0;
		this.options.recordShedding({
			...room,
			service,
			isShort: shortage.isShort,
			shares,
			refused,
			isMeasured: load.isMeasured,
			ageMs: load.ageMs,
		});
	}

	/** Builds the refusal of a call, which is to return at the pace at which this gateway can admit it. */
	#buildFailure(
		{load, shares, returns}: ServiceShedding,
		deadlineAt: number,
		{priority, share}: UrgencyShare,
		now: number,
	): Failure {
		const schedule =
			returns.get(priority) ?? new ReturnSchedule(this.options.drawRandom);
		returns.set(priority, schedule);
		const placeRate = findPlaceRate(load.own.rates, shares, priority);
		const returnMs = schedule.takePlace(
			{
				intervalMs: Math.min(maxReturnIntervalMs, msPerSecond / placeRate),
				remainingMs: deadlineAt - now,
				share,
			},
			now,
		);
		return createFailure(
			'overloaded',
			'The service has more requests than it can serve in time.',
			{retryAfterSeconds: returnMs / msPerSecond},
		);
	}
}
