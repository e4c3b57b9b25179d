/**
 * Peer updates, which a gateway sends to its followers over a persistent
 * connection: the age of its data from the platform's store, and the list of
 * backend servers. So a few gateways read the store for all. A follower sends
 * pings, and every update repeats the last one. That bounds the age of an update
 * even if the connection delayed it.
 */
import {
	backendIdSchema,
	type BackendsSnapshot,
	dataCentreIdSchema,
	type MemberCount,
	modelNameSchema,
	parseAddress,
	serviceNameSchema,
	type TimedTotal,
} from 'bramleystage';
import * as z from 'zod';
import {crashNewsSchema} from './crash-exchange.js';
import {decodeTotal, updateDemandSchema} from './demand-codec.js';
import {limitNewsSchema} from './permit-messages.js';

const maxPort = 65_535;

/** `host:port` to which a connection can be opened. */
const addressSchema = z.string().refine((address) => {
	const {host, port} = parseAddress(address);
	return host !== '' && Number.isInteger(port) && port > 0 && port <= maxPort;
}, 'Not host:port.');

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

/** The largest number of gateways that the sender is sure of or was told. */
const memberCountSchema = z.object({
	count: z.int().positive(),
	/** Time since it was counted, in milliseconds. */
	ageMs: z.number().nonnegative(),
});

export const pingSchema = z.object({
	/** Follower's steady-clock time when it sent this ping, in milliseconds. */
	beatAt: z.number(),
	/** `host:port` at which other gateways reach the follower; absent from gateways of older builds. */
	sender: addressSchema.optional(),
	/** Fence of the group's state that the follower knows; absent if none. */
	groupFence: z.number().optional(),
	/** Absent if it knows none, and from gateways of older builds. */
	memberCount: memberCountSchema.optional(),
	/** Crash evidence that the follower has not sent before. */
	crashNews: crashNewsSchema.optional(),
	/** Limits of servers that the follower has not sent before. */
	limitNews: z.array(limitNewsSchema).readonly().optional(),
	/** The follower's own load; absent from gateways of older builds, and checked when it is decoded (demand-codec.ts). */
	demand: z.unknown().optional(),
});

export const peerUpdateSchema = z.object({
	/** Time until the gateway serves again, in milliseconds; null if it is not stopping. */
	backInMs: z.number().nullable(),
	/** Newest era of the store that the gateway knows; null if none. */
	storeEra: z.int().nullable(),
	/** Gateway that read the list from the store; null if the list was never read. */
	reader: z.string().nullable(),
	/** Members of the gateways' group, if they changed since the last update. */
	group: z
		.object({fence: z.number(), members: z.array(addressSchema)})
		.nullable(),
	/** Gateways that it knows, if they changed since the last update. */
	known: z.array(addressSchema).readonly().optional(),
	/** Absent if it knows none, and from gateways of older builds. */
	memberCount: memberCountSchema.optional(),
	/** Version of the newest configuration; -1 if none is known. */
	version: z.int(),
	/** Time since the configuration was read from the store, in milliseconds; null if never. */
	configurationAgeMs: z.number().nullable(),
	/** Time since the list was read from the store, in milliseconds; null if never. */
	listAgeMs: z.number().nullable(),
	/** Backend servers that are new or differ from those sent before. */
	changed: z.array(backendSchema),
	/** Backend servers that were sent before and are gone. */
	removed: z.array(backendIdSchema),
	/** `beatAt` of the follower's last ping. */
	beatAt: z.number(),
	/** Time since that ping arrived, in milliseconds. */
	heldMs: z.number(),
	/** Crash evidence that was not sent to the follower before. */
	crashNews: crashNewsSchema.optional(),
	/** Limits of servers that were not sent to the follower before. */
	limitNews: z.array(limitNewsSchema).readonly().optional(),
	/** Load of the gateway and of all that follow it; absent from gateways of older builds. */
	demand: updateDemandSchema,
});

export type Ping = z.infer<typeof pingSchema>;
export type PeerUpdate = z.infer<typeof peerUpdateSchema>;

/** Members of the gateways' group. */
export type GroupState = {
	/** Rises with each change of the group and each restoration of the store. */
	readonly fence: number;
	readonly members: readonly string[];
};

/** What was sent to a follower before. */
export type SentState = Pick<GatewayState, 'backends' | 'group' | 'known'>;

/** What a gateway knows from the store; times are in milliseconds of its steady clock. */
export type GatewayState = {
	/** Time at which it serves again; absent if it is not stopping. */
	readonly backAt?: number;
	/** Newest era of the store; absent before its first answer. */
	readonly storeEra?: number;
	/** `host:port` of the gateway that read the list from the store; absent before the first read. */
	readonly reader?: string;
	/** Absent before the group was read. */
	readonly group?: GroupState;
	/** `host:port` of each gateway that it knows; the same array as before unless they change. */
	readonly known?: readonly string[];
	/** Largest number of gateways that it is sure of or was told; absent if there is none. */
	readonly memberCount?: MemberCount;
	readonly version: number;
	/** Time as of which the configuration is known. */
	readonly configurationReadAt: number;
	/** Time as of which the list is known. */
	readonly listReadAt: number;
	readonly backends: BackendsSnapshot['backends'];
};

/** Encodes a number of gateways with its age. */
export const encodeMemberCount = (
	memberCount: MemberCount | undefined,
	now: number,
) =>
	memberCount && {
		count: memberCount.count,
		ageMs: Math.max(0, now - memberCount.countedAt),
	};

const computeAge = (now: number, readAt: number) =>
	Number.isFinite(readAt) ? now - readAt : null;

/** Builds the update for a follower; `lastSent` is what was sent to it before. */
export function buildPeerUpdate(
	state: GatewayState,
	lastSent: SentState,
	ping: {readonly beatAt: number; readonly arrivedAt: number},
	now: number,
): PeerUpdate {
	const {backends, group} = state;
	const hasChanges = backends !== lastSent.backends;
	return {
		backInMs: state.backAt === undefined ? null : state.backAt - now,
		storeEra: state.storeEra ?? null,
		reader: state.reader ?? null,
		group:
			group && group.fence !== lastSent.group?.fence
				? {...group, members: [...group.members]}
				: null,
		...(state.known !== lastSent.known && {known: state.known}),
		memberCount: encodeMemberCount(state.memberCount, now),
		version: state.version,
		configurationAgeMs: computeAge(now, state.configurationReadAt),
		listAgeMs: computeAge(now, state.listReadAt),
		changed: hasChanges
			? [...backends.values()].filter(
					(backend) => lastSent.backends.get(backend.id) !== backend,
				)
			: [],
		removed: hasChanges
			? [...lastSent.backends.keys()].filter((id) => !backends.has(id))
			: [],
		beatAt: ping.beatAt,
		heldMs: now - ping.arrivedAt,
	};
}

/** What a follower knows from one peer; times are in milliseconds of the follower's steady clock. */
export type PeerState = GatewayState & {
	/** Latest time at which the peer was certainly alive. */
	readonly aliveAt: number;
	/** Load of the peer and of all that follow it; absent if its last update had none. */
	readonly demand?: TimedTotal;
};

export const createPeerState = (): PeerState => ({
	version: -1,
	configurationReadAt: Number.NEGATIVE_INFINITY,
	listReadAt: Number.NEGATIVE_INFINITY,
	backends: new Map(),
	aliveAt: Number.NEGATIVE_INFINITY,
});

/**
 * Applies an update to the known state of a peer. The update was written after
 * the ping that it repeats, so its ages count from that ping plus the time for
 * which the peer held it, not from the arrival of the update.
 */
export function applyPeerUpdate(
	state: PeerState,
	update: PeerUpdate,
): PeerState {
	const writtenAt = update.beatAt + update.heldMs;
	const toReadAt = (ageMs: number | null) =>
		ageMs === null ? Number.NEGATIVE_INFINITY : writtenAt - ageMs;
	let {backends} = state;
	if (update.changed.length > 0 || update.removed.length > 0) {
		const next = new Map(backends);
		for (const id of update.removed) {
			next.delete(id);
		}

		for (const backend of update.changed) {
			next.set(backend.id, backend);
		}

		backends = next;
	}

	return {
		...(update.backInMs !== null && {backAt: writtenAt + update.backInMs}),
		...(update.storeEra !== null && {storeEra: update.storeEra}),
		...(update.reader !== null && {reader: update.reader}),
		group: update.group ?? state.group,
		known: update.known ?? state.known,
		...(update.memberCount && {
			memberCount: {
				count: update.memberCount.count,
				countedAt: writtenAt - update.memberCount.ageMs,
			},
		}),
		version: update.version,
		configurationReadAt: toReadAt(update.configurationAgeMs),
		listReadAt: toReadAt(update.listAgeMs),
		backends,
		aliveAt: writtenAt,
		...(update.demand && {demand: {...decodeTotal(update.demand), writtenAt}}),
	};
}
