/**
 * Compact form of load sums in pings and updates: one list of whole numbers for each service,
 * as they are sent several times a second. Gateways of older builds send and read none.
 */
import {
	type DemandSums,
	type DemandTotal,
	type PriorityRates,
	type ServiceLoad,
	type ServiceName,
	toServiceName,
} from 'bramleystage';
import * as z from 'zod';

/** Rates are sent in hundredths a second: whole numbers take 1 to 5 bytes, others 9. */
const rateScale = 100;
/** Numbers before the rates, and numbers for each priority. */
const headLength = 3;
const priorityLength = 3;

/**
 * Load of each service: running requests, their tokens, the rate of ends, and for each
 * priority its number and the rates of arrivals and admissions.
 */
export type WireSums = Readonly<Record<ServiceName, readonly number[]>>;

const isLoad = (numbers: unknown): boolean =>
	Array.isArray(numbers) &&
	numbers.length >= headLength &&
	numbers.every((number) => Number.isFinite(number) && number >= 0);

/** Checks sums by hand: a followed gateway reads 1300 a second, and a schema of them takes ten times as long. */
const isWireSums = (value: unknown): value is WireSums =>
	typeof value === 'object' &&
	value !== null &&
	!Array.isArray(value) &&
	Object.values(value).every((numbers) => isLoad(numbers));

const wireTotalSchema = z.object({
	/** Gateways that the total counts. */
	gateways: z.int().min(1),
	/** Gateways that have said that they stop; absent if none. */
	stopped: z.int().min(0).optional(),
	/** Gateways whose connections ended otherwise; absent if none. */
	lost: z.int().min(0).optional(),
	/** Age of the oldest sums that are counted, in milliseconds. */
	ageMs: z.number().min(0),
	loads: z.custom<WireSums>(isWireSums),
});

export type WireTotal = z.infer<typeof wireTotalSchema>;

/** Total in an update; a form of later builds counts as absent. */
export const updateDemandSchema = z
	.unknown()
	.transform((value) => wireTotalSchema.safeParse(value).data)
	.optional();

const encodeRate = (rate: number) => Math.round(rate * rateScale);

const encodeLoad = ({running, tokens, ends, rates}: ServiceLoad): number[] => [
	Math.round(running),
	Math.round(tokens),
	encodeRate(ends),
	...rates.flatMap(({priority, arrivals, admissions}) => [
		priority,
		encodeRate(arrivals),
		encodeRate(admissions),
	]),
];

function decodeLoad(numbers: readonly number[]): ServiceLoad {
	const [running = 0, tokens = 0, ends = 0] = numbers;
	const rates: PriorityRates[] = [];
	for (
		let start = headLength;
		start + priorityLength <= numbers.length;
		start += priorityLength
	) {
		const [priority = 0, arrivals = 0, admissions = 0] = numbers.slice(start);
		rates.push({
			priority,
			arrivals: arrivals / rateScale,
			admissions: admissions / rateScale,
		});
	}

	return {running, tokens, ends: ends / rateScale, rates};
}

export const encodeSums = (sums: DemandSums): WireSums =>
	Object.fromEntries(
		[...sums].map(([service, load]) => [service, encodeLoad(load)]),
	);

/** Decodes sums; undefined if they are absent or have a form of later builds, as the rest of their message matters more. */
export const decodeSums = (wire: unknown): DemandSums | undefined =>
	isWireSums(wire)
		? new Map(
				Object.entries(wire).map(([service, numbers]) => [
					toServiceName(service),
					decodeLoad(numbers),
				]),
			)
		: undefined;

export const encodeTotal = ({
	loads,
	gateways,
	stopped,
	lost,
	ageMs,
}: DemandTotal): WireTotal => ({
	gateways,
	...(stopped > 0 && {stopped}),
	...(lost > 0 && {lost}),
	ageMs: Math.round(ageMs),
	loads: encodeSums(loads),
});

export const decodeTotal = ({
	loads,
	gateways,
	stopped = 0,
	lost = 0,
	ageMs,
}: WireTotal): DemandTotal => ({
	gateways,
	stopped,
	lost,
	ageMs,
	loads: decodeSums(loads) ?? new Map(),
});
