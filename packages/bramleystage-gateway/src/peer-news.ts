/**
 * What gateways tell each other all the time over a kept connection: how fresh
 * their knowledge of the platform's store is, and the list of backend servers.
 * So a few gateways read the store for all. The follower sends beats; every
 * piece of news repeats the last of them, which bounds how old the news is even
 * if the connection held it back.
 */
import {
	type Backend,
	type BackendId,
	backendIdSchema,
	type BackendsSnapshot,
	dataCentreIdSchema,
	modelNameSchema,
	serviceNameSchema,
} from 'bramleystage';
import * as z from 'zod';

const layersSchema = z.object({from: z.int(), to: z.int()});

export const backendSchema = z.object({
	id: backendIdSchema,
	service: serviceNameSchema,
	address: z.string(),
	dataCentre: dataCentreIdSchema,
	isDraining: z.boolean(),
	kind: z.string().optional(),
	layers: layersSchema.optional(),
	models: z.array(modelNameSchema).readonly(),
	slots: z.number(),
	bornAt: z.number(),
});

export const beatSchema = z.object({
	/** Present time of the follower when it sent this, in milliseconds. */
	beatAt: z.number(),
});

export const newsSchema = z.object({
	/** Time until the gateway serves again, in milliseconds; nothing if it is not stopping. */
	backInMs: z.number().nullable(),
	/** Newest configuration; -1 if none is known. */
	version: z.int(),
	/** Time since the configuration was read from the store, in milliseconds; nothing if never. */
	configurationAgeMs: z.number().nullable(),
	/** Time since the list was read from the store, in milliseconds; nothing if never. */
	listAgeMs: z.number().nullable(),
	/** Backend servers that are new or differ from those told before. */
	changed: z.array(backendSchema),
	/** Backend servers told before that are gone. */
	removed: z.array(backendIdSchema),
	/** Last beat of the follower. */
	beatAt: z.number(),
	/** Time since that beat arrived, in milliseconds. */
	heldMs: z.number(),
});

export type Beat = z.infer<typeof beatSchema>;
export type News = z.infer<typeof newsSchema>;

/** What a gateway knows, as of a present time in milliseconds. */
export type Knowledge = {
	/** Present time at which it serves again; left out if it is not stopping. */
	readonly backAt?: number;
	readonly version: number;
	/** Present time as of which the configuration was read. */
	readonly configurationReadAt: number;
	/** Present time as of which the list was read. */
	readonly listReadAt: number;
	readonly backends: BackendsSnapshot['backends'];
};

const computeAge = (now: number, readAt: number) =>
	Number.isFinite(readAt) ? now - readAt : null;

/** Builds the news for a follower that was told some backend servers before. */
export function buildNews(
	knowledge: Knowledge,
	told: ReadonlyMap<BackendId, Backend>,
	beat: {readonly beatAt: number; readonly arrivedAt: number},
	now: number,
): News {
	const {backends} = knowledge;
	return {
		backInMs: knowledge.backAt === undefined ? null : knowledge.backAt - now,
		version: knowledge.version,
		configurationAgeMs: computeAge(now, knowledge.configurationReadAt),
		listAgeMs: computeAge(now, knowledge.listReadAt),
		changed: [...backends.values()].filter(
			(backend) => told.get(backend.id) !== backend,
		),
		removed: [...told.keys()].filter((id) => !backends.has(id)),
		beatAt: beat.beatAt,
		heldMs: now - beat.arrivedAt,
	};
}

/** What a follower knows by one peer. */
export type PeerKnowledge = Knowledge & {
	/** Present time of the follower at which the peer lived for certain. */
	readonly aliveAt: number;
};

export const createPeerKnowledge = (): PeerKnowledge => ({
	version: -1,
	configurationReadAt: Number.NEGATIVE_INFINITY,
	listReadAt: Number.NEGATIVE_INFINITY,
	backends: new Map(),
	aliveAt: Number.NEGATIVE_INFINITY,
});

/**
 * Applies news to what was known by a peer. The news was written after the beat
 * that it repeats, so its ages count from there, not from its arrival.
 */
export function applyNews(known: PeerKnowledge, news: News): PeerKnowledge {
	const writtenAt = news.beatAt + news.heldMs;
	const toReadAt = (ageMs: number | null) =>
		ageMs === null ? Number.NEGATIVE_INFINITY : writtenAt - ageMs;
	let {backends} = known;
	if (news.changed.length > 0 || news.removed.length > 0) {
		const next = new Map(backends);
		for (const id of news.removed) {
			next.delete(id);
		}

		for (const backend of news.changed) {
			next.set(backend.id, backend);
		}

		backends = next;
	}

	return {
		...(news.backInMs !== null && {backAt: writtenAt + news.backInMs}),
		version: news.version,
		configurationReadAt: toReadAt(news.configurationAgeMs),
		listReadAt: toReadAt(news.listAgeMs),
		backends,
		aliveAt: writtenAt,
	};
}
