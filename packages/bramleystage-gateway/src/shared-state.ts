/**
 * What all gateways know alike: the configuration, the list of backend servers and the
 * group's members. Each gateway follows them in the platform's store, or at peers that
 * read the store for it or that it still reaches while the store turns it away.
 */
import type {LifeCycle, LinkEvent, Logger} from 'bramleystage';
import type {Registry} from 'prom-client';
import {followBackends} from './backend-follower.js';
import {
	type ConfigurationFollower,
	followConfiguration,
} from './configuration-follower.js';
import {ConfigurationRecord} from './configuration-record.js';
import type {CrashLedger} from './crash-ledger.js';
import type {DemandWatch} from './demand-watch.js';
import type {Fleet} from './fleet.js';
import {GatewayGroup} from './gateway-group.js';
import {KnownMembers} from './known-members.js';
import type {LimitWatch} from './limit-watch.js';
import {emptyQuery, sendPeerQuery} from './peer-exchange.js';
import {PeerLinks} from './peer-links.js';
import {computeOwnReadAgeMs} from './peer-selection.js';
import {PeerSync} from './peer-sync.js';
import type {OpenPeerSocket} from './peer-socket.js';
import type {GatewayState} from './peer-update.js';
import type {GatewaySettings, StorePort} from './platform-port.js';
import {StoreContact} from './store-contact.js';

export type SharedStateOptions = {
	readonly settings: Pick<
		GatewaySettings,
		'peerListen' | 'seeds' | 'memberMs' | 'retryWindowMs' | 'isFirstStart'
	>;
	readonly store: StorePort;
	readonly fleet: Fleet;
	readonly registry: Registry;
	readonly crashes: Pick<CrashLedger, 'acceptNews' | 'buildNews'>;
	readonly limits: Pick<LimitWatch, 'acceptNews' | 'buildNews'>;
	/** Builds the own load that is sent to followed peers; absent if none is measured. */
	readonly demand?: Pick<DemandWatch, 'buildSums'>;
	/** Returns the steady-clock time at which this gateway serves again, in milliseconds; undefined if it is not stopping. */
	readonly findBackAt: () => number | undefined;
	/** Receives what the connections to peers show of the own link's delay. */
	readonly recordLinkEvent: (event: LinkEvent) => void;
	readonly lifeCycle: LifeCycle;
	readonly logger: Logger;
	readonly readClock: () => number;
	/** Returns the delay of the own network link, in milliseconds. */
	readonly readLinkDelayMs: () => number;
	/** Returns a number from 0 to below 1. */
	readonly drawRandom?: () => number;
	readonly openSocket?: OpenPeerSocket;
};

export type SharedState = {
	readonly known: KnownMembers;
	readonly peerLinks: PeerLinks;
	readonly group: GatewayGroup;
	readonly peerSync: PeerSync;
	readonly configurations: ConfigurationFollower['configurations'];
	/** Records that a gateway has sent a ping. */
	readonly recordPing: (sender: string) => void;
	/** Reads the state that is sent to followers. */
	readonly readState: () => GatewayState;
};

/** Starts following until the life cycle stops. */
export function followSharedState({
	settings,
	store,
	fleet,
	registry,
	crashes,
	limits,
	demand,
	findBackAt,
	recordLinkEvent,
	...base
}: SharedStateOptions): SharedState {
	const {logger, readClock} = base;
	const {peerListen: self, seeds} = settings;
	const known = new KnownMembers({
		self,
		seeds,
		async checkMember(address) {
			const answer = await sendPeerQuery(address, emptyQuery, {
				linkDelayMs: base.readLinkDelayMs(),
				openSocket: base.openSocket,
			});
			return answer.match(
				({isStopping}) => (isStopping ? 'stopping' : 'serves'),
				() => 'none',
			);
		},
		...base,
	});
	known.registerChecks(base.lifeCycle);
	const peerLinks: PeerLinks = new PeerLinks({
		findSender: () => (findBackAt() === undefined ? self : undefined),
		listPeers: () => known.listPeers(),
		onUpdate(state, address) {
			const now = readClock();
			if (state.backAt === undefined) {
				known.recordContact(address, now);
			}

			known.recordTold(state.known ?? [], now);
			peerSync.acceptUpdate(state, address);
			group.applyPeerGroup();
			if (state.memberCount) {
				group.share.recordMemberCount(state.memberCount, now);
			}
		},
		crashes,
		limits,
		demand,
		readGroupFence: () => group.state?.fence,
		findMemberCount: (now) => group.share.findMemberCount(now),
		recordLinkEvent,
		...base,
	});
	const contact = new StoreContact();
	const isInformedByPeer = () =>
		peerLinks.hasPublisher(self, contact.isLost(readClock()));
	const group: GatewayGroup = new GatewayGroup({
		store,
		self,
		known,
		memberMs: settings.memberMs,
		windowMs: settings.retryWindowMs,
		isFirstStart: settings.isFirstStart,
		isStoreUnreachable: () => peerLinks.isStoreUnreachable,
		readListReadAt: () => fleet.readAt,
		findPeerState: (address) => peerLinks.findPeerState(address),
		findPeerGroup: () => peerLinks.findGroup(),
		isInformedByPeer,
		...base,
	});
	const readMaxAgeMs = () =>
		computeOwnReadAgeMs(isInformedByPeer(), group.rank);
	const follower = followConfiguration({
		store,
		readMaxAgeMs,
		recordStoreEra(era) {
			fleet.recordStoreEra(era);
		},
		contact,
		record: new ConfigurationRecord(registry, logger),
		...base,
	});
	const {configurations} = follower;
	followBackends({store, fleet, readMaxAgeMs, contact, ...base});
	const peerSync: PeerSync = new PeerSync({
		follower,
		fleet,
		listPeers: () => known.listPeers(),
		isStopping: () => findBackAt() !== undefined,
		...base,
	});
	return {
		known,
		peerLinks,
		group,
		peerSync,
		configurations,
		recordPing(sender) {
			known.recordContact(sender, readClock());
		},
		readState() {
			const backAt = findBackAt();
			return {
				...(backAt !== undefined && {backAt}),
				storeEra: fleet.storeEra,
				...(fleet.hasBackends && {
					reader: fleet.reader ?? self,
				}),
				group: group.state,
				known: known.confirmed.value,
				memberCount: group.share.findMemberCount(readClock()),
				version: configurations.value?.version ?? -1,
				configurationReadAt: follower.readAt(),
				listReadAt: fleet.readAt,
				backends: fleet.snapshots.value.backends,
			};
		},
	};
}
