/**
 * Keeps what is known of requests that end backend servers beyond the life of all
 * gateways. Each gateway reads it from the platform's store when it starts; one of
 * them saves it there when it has changed. Peers tell each other the rest
 * (crash-exchange.ts). Without the store a gateway serves with what its peers know.
 */
import {type LifeCycle, type Logger, waitFor} from 'bramleystage';
import * as z from 'zod';
import {type CrashNews, crashNewsSchema} from './crash-exchange.js';
import type {CrashLedger} from './crash-ledger.js';
import type {StorePort} from './platform-port.js';

/** How often a changed record is saved at most, in milliseconds. */
const saveIntervalMs = 1000;
/** Time for which a gateway that starts waits for the record, in milliseconds; a slow store must not keep it from serving. */
const maxWaitMs = 1000;
/** Delay before a failed read is repeated, in milliseconds. */
const retryDelayMs = 1000;
/** Largest record that is saved, in characters; the store takes larger ones, but each costs all that read it. */
const maxRecordLength = 65_536;

const recordSchema = z.object({
	/** Unix time at which it was written, in milliseconds. */
	writtenAt: z.number(),
	news: crashNewsSchema,
});

export type CrashMemoryOptions = {
	readonly store: Pick<StorePort, 'loadRecord' | 'saveRecord'>;
	readonly ledger: Pick<CrashLedger, 'acceptNews' | 'buildLastingNews'>;
	/** Whether this gateway saves for all. */
	readonly isWriter: () => boolean;
	/** Returns the store's era; a later one may lack what was saved. */
	readonly readEra: () => number | undefined;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Returns the Unix time, in milliseconds. */
	readonly readWallClock: () => number;
};

export type CrashMemory = {
	/** Whether the saved record has been read, or could not be in time. */
	readonly isRead: () => boolean;
};

export function startCrashMemory(options: CrashMemoryOptions): CrashMemory {
	const {store, ledger, lifeCycle, logger, readClock, readWallClock} = options;
	const startedAt = readClock();
	let hasTried = false;
	let isLoaded = false;
	let isSaving = false;
	/** What the store is known to hold, without times. */
	let savedFacts = formatFacts(undefined);
	let savedEra: number | undefined;

	const load = async () => {
		while (!isLoaded && !lifeCycle.isStopped) {
			// A failed read is repeated later.
			// eslint-disable-next-line no-await-in-loop
			const read = await store.loadRecord();
			hasTried = true;
			if (read.isOk()) {
				acceptRecord(read.value);
				isLoaded = true;
				return;
			}

			logger.warn('crashes.unread', {detail: read.error.detail});
			// eslint-disable-next-line no-await-in-loop
			await waitFor(retryDelayMs);
		}
	};

	const acceptRecord = (text: string | undefined) => {
		const record = text === undefined ? undefined : parseRecord(text, logger);
		if (!record) {
			return;
		}

		const {writtenAt, news} = record;
		const ageMs = Math.max(0, readWallClock() - writtenAt);
		const at = readClock() - ageMs;
		savedFacts = formatFacts(news);
		logger.info('crashes.read', {
			crashes: news.crashes.length,
			age_ms: Math.round(ageMs),
		});
		ledger.acceptNews(news, {writtenAfter: at, arrivedAt: at});
	};

	const trySave = async () => {
		const era = options.readEra();
		const news = ledger.buildLastingNews(readClock());
		const facts = formatFacts(news);
		savedEra ??= era;
		const isSaved = facts === savedFacts && (!news || era === savedEra);
		if (isSaving || !isLoaded || !options.isWriter() || isSaved) {
			return;
		}

		const text = JSON.stringify({
			writtenAt: readWallClock(),
			news: news ?? emptyNews,
		});
		if (text.length > maxRecordLength) {
			logger.warn('crashes.unsaved', {detail: `${text.length} characters`});
			savedFacts = facts;
			return;
		}

		isSaving = true;
		const saved = await store.saveRecord(text);
		isSaving = false;
		if (saved.isErr()) {
			logger.warn('crashes.unsaved', {detail: saved.error.detail});
			return;
		}

		savedFacts = facts;
		savedEra = era;
		logger.info('crashes.saved', {crashes: news?.crashes.length ?? 0});
	};

	lifeCycle.registerInterval(saveIntervalMs, () => {
		void trySave();
	});
	void load();
	return {isRead: () => hasTried || readClock() - startedAt >= maxWaitMs};
}

const emptyNews: CrashNews = {crashes: [], sounds: [], probes: []};

/** Formats what news tell apart from their times. */
const formatFacts = ({crashes, probes}: CrashNews = emptyNews): string =>
	JSON.stringify([
		crashes.map(({instance, suspects}) => [
			instance,
			suspects.map(({trait}) => trait),
		]),
		probes.map(({trait, count}) => [trait, count]),
	]);

function parseRecord(text: string, logger: Logger) {
	try {
		return recordSchema.parse(JSON.parse(text));
	} catch (error) {
		logger.warn('crashes.unread', {detail: (error as Error).message});
		return undefined;
	}
}
