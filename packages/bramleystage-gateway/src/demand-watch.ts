/**
 * What this gateway knows of the demand: its own load, the load of all gateways, and how long
 * the answers of each route are. Its sums go to the gateways that it follows with each ping,
 * and the total of the sums that it gets goes to its followers with each update.
 */
import {
	type AnswerLengths,
	computeFleetLoad,
	createAnswerLengths,
	DemandMeter,
	computeAnswerTokens,
	type FleetLoad,
	recordAnswerLength,
	type Route,
	SenderSums,
	type ServiceName,
	type TimedTotal,
} from 'bramleystage';
import {type Call, computePriority} from './call.js';
import {
	decodeSums,
	encodeSums,
	encodeTotal,
	type WireSums,
	type WireTotal,
} from './demand-codec.js';

/** Age up to which a total is sent again, in milliseconds: 400 followers ask for 1300 a second. */
const totalIntervalMs = 100;

export type DemandWatchOptions = {
	/** Number of gateways that share the load. */
	readonly countGateways: () => number;
	/** Lists the last totals of the followed gateways. */
	readonly listTotals: () => readonly TimedTotal[];
};

export class DemandWatch {
	readonly #meter = new DemandMeter();
	readonly #senders = new SenderSums();
	/** What records the end of each call that has begun. */
	readonly #begun = new Map<Call, (now: number) => void>();
	readonly #answers = new Map<Route['name'], AnswerLengths>();
	#total: {readonly value: TimedTotal; readonly wire: WireTotal} | undefined;

	constructor(private readonly options: DemandWatchOptions) {}

	/** Records that a call has arrived, whether or not it will begin. */
	recordArrival(call: Call, now: number): void {
		this.#meter.recordArrival(call.service.name, computePriority(call), now);
	}

	/** Records that a call begins. */
	recordAdmission(call: Call, now: number): void {
		if (this.#begun.has(call)) {
			return;
		}

		const recordEnd = this.#meter.recordAdmission(
			call.service.name,
			{
				priority: computePriority(call),
				tokens: this.countExpectedTokens(call),
			},
			now,
		);
		this.#begun.set(call, recordEnd);
	}

	/** Records that a call has ended, if it had begun. */
	recordEnd(call: Call, now: number): void {
		this.#begun.get(call)?.(now);
		this.#begun.delete(call);
	}

	/** Records the number of events of a whole stream; one that the caller had begun elsewhere says nothing of the length. */
	recordAnswer({route, service, metadata}: Call, events: number): void {
		if (!service.pipeline || events === 0 || metadata.lastEvent !== undefined) {
			return;
		}

		const lengths = this.#answers.get(route.name) ?? createAnswerLengths();
		const tokens = events * service.pipeline.tokensPerEvent;
		this.#answers.set(
			route.name,
			recordAnswerLength(lengths, toAnswerRequest(metadata), tokens),
		);
	}

	/** Counts the tokens of a call's prompt and those that its answer is expected to have. */
	countExpectedTokens({route, metadata}: Call): number {
		const lengths = this.#answers.get(route.name) ?? createAnswerLengths();
		return (
			metadata.promptTokens +
			computeAnswerTokens(lengths, toAnswerRequest(metadata))
		);
	}

	/** Describes the load of a service, here and over all gateways. */
	readFleetLoad(service: ServiceName, now: number): FleetLoad {
		const {listTotals, countGateways} = this.options;
		return computeFleetLoad(
			service,
			{
				own: this.#meter.describe(service, now),
				totals: [this.#readTotal(now).value, ...listTotals()],
				gateways: countGateways(),
			},
			now,
		);
	}

	/** Lists the services that any gateway has load of. */
	listServices(now: number): ServiceName[] {
		const totals = [this.#readTotal(now).value, ...this.options.listTotals()];
		return [
			...new Set([
				...this.#meter.describeAll(now).keys(),
				...totals.flatMap(({loads}) => [...loads.keys()]),
			]),
		].toSorted();
	}

	/** Builds the own sums, for a followed gateway. */
	buildSums(now: number): WireSums {
		return encodeSums(this.#meter.describeAll(now));
	}

	/** Builds the total of the own sums and those of all followers, for a follower. */
	buildTotal(now: number): WireTotal {
		const {value, wire} = this.#readTotal(now);
		return {...wire, ageMs: Math.round(value.ageMs + now - value.writtenAt)};
	}

	/** Accepts the sums of a follower, if its ping has any that can be read. */
	acceptSums(sender: string, wire: unknown, now: number): void {
		const sums = decodeSums(wire);
		if (sums) {
			this.#senders.recordSums(sender, sums, now);
		}
	}

	/** Records that the connection of a follower has ended. */
	recordSenderEnd(sender: string, isStopping: boolean, now: number): void {
		this.#senders.recordEnd(sender, isStopping, now);
		this.#total = undefined;
	}

	#readTotal(now: number) {
		if (!this.#total || now - this.#total.value.writtenAt >= totalIntervalMs) {
			const total = this.#senders.computeTotal(
				this.#meter.describeAll(now),
				now,
			);
			this.#total = {
				value: {...total, writtenAt: now},
				wire: encodeTotal(total),
			};
		}

		return this.#total;
	}
}

const toAnswerRequest = ({
	maxAnswerTokens,
	answerTokensHint,
}: Call['metadata']) => ({
	hintTokens: answerTokensHint,
	maxTokens: maxAnswerTokens,
});
