/**
 * Crash evidence as gateways send it to each other, in pings and peer updates. Times
 * are ages, as gateways share no clock. Each side sends only what has changed since
 * it last sent something on the same connection.
 */
import {
	type Crash,
	type CrashEvidence,
	instanceKeySchema,
	type ProbeRecord,
	requestTraitSchema,
	type Suspicion,
} from 'bramleystage';
import * as z from 'zod';

const ageSchema = z.number();
const suspectSchema = z.object({
	trait: requestTraitSchema,
	witnesses: z.array(z.string()),
	sentAgeMs: ageSchema,
	form: z.int().optional(),
});

const crashSchema = z.object({
	instance: instanceKeySchema,
	endedAgeMs: ageSchema,
	citedAgeMs: ageSchema,
	isBegun: z.boolean(),
	suspects: z.array(suspectSchema),
});

export const crashNewsSchema = z.object({
	crashes: z.array(crashSchema),
	/** Last sound answers to requests with suspect traits. */
	sounds: z.array(z.object({trait: requestTraitSchema, ageMs: ageSchema})),
	/** Requests that were let through although a trait was to blame. */
	probes: z.array(
		z.object({
			trait: requestTraitSchema,
			count: z.int(),
			ageMs: ageSchema,
		}),
	),
});

export type CrashNews = z.infer<typeof crashNewsSchema>;

/** Builds news of the entries that `isNew` selects; undefined if there are none. */
export function buildCrashNews(
	{crashes, soundAt, probes}: CrashEvidence,
	isNew: (entry: Crash | ProbeRecord | string) => boolean,
	now: number,
): CrashNews | undefined {
	const news: CrashNews = {
		crashes: [...crashes.values()]
			.filter((crash) => isNew(crash))
			.map((crash) => encodeCrash(crash, now)),
		sounds: [...soundAt]
			.filter(([trait]) => isNew(trait))
			.map(([trait, at]) => ({trait, ageMs: now - at})),
		probes: [...probes]
			.filter(([, probe]) => isNew(probe))
			.map(([trait, {count, at}]) => ({trait, count, ageMs: now - at})),
	};
	const size = news.crashes.length + news.sounds.length + news.probes.length;
	return size > 0 ? news : undefined;
}

const encodeCrash = (
	{instance, endedAt, citedAt, isBegun, suspects}: Crash,
	now: number,
): CrashNews['crashes'][number] => ({
	instance,
	endedAgeMs: now - endedAt,
	citedAgeMs: now - citedAt,
	isBegun,
	suspects: [...suspects].map(([trait, {witnesses, sentAt, form}]) => ({
		trait,
		witnesses: [...witnesses],
		sentAgeMs: now - sentAt,
		...(form !== undefined && {form}),
	})),
});

/** Decodes a crash of news that were written at a steady-clock time of this gateway, in milliseconds. */
export const decodeCrash = (
	{
		instance,
		endedAgeMs,
		citedAgeMs,
		isBegun,
		suspects,
	}: CrashNews['crashes'][number],
	writtenAt: number,
): Crash => ({
	instance,
	endedAt: writtenAt - endedAgeMs,
	citedAt: writtenAt - citedAgeMs,
	isBegun,
	suspects: new Map(
		suspects.map(
			({trait, sentAgeMs, ...suspicion}): [typeof trait, Suspicion] => [
				trait,
				{...suspicion, sentAt: writtenAt - sentAgeMs},
			],
		),
	),
});
