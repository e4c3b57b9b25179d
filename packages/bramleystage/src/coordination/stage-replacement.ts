/**
 * Replacement of one stage of a pipeline. The layers of the lost stage are a
 * small model of their own: the hosts are shown with their offers cut down to
 * those layers, so that the common choice of a pipeline covers them.
 */
import type {HostId} from '../protocol/ids.js';
import type {Offer, Stage} from '../protocol/messages.js';
import type {ConnectedHost, HostsSnapshot} from '../state/hosts.js';

/** The layers to cover, and the version that the cut offers are listed under. */
export type Gap = {
	readonly hosts: HostsSnapshot;
	readonly layers: number;
	readonly version: string;
	/** Hosts that are not to be used: failed ones and those of the stages. */
	readonly excluding: readonly HostId[];
};

/** Chooses stages that cover the gap's layers, counted from 0. */
export type ChooseForGap = (gap: Gap) => readonly Stage[] | undefined;

/** Gives the stages with the lost one replaced, or nothing when none can be. */
export function replaceStage(
	lost: {
		readonly stages: readonly Stage[];
		readonly index: number;
		readonly version: string;
		readonly excluding: readonly HostId[];
	},
	hosts: HostsSnapshot,
	choose: ChooseForGap,
): readonly Stage[] | undefined {
	const {stages, index, version, excluding} = lost;
	const stage = stages[index];
	if (!stage) {
		return undefined;
	}

	const {fromLayer, toLayer} = stage;
	const gapVersion = `${version} layers ${fromLayer}-${toLayer}`;
	const cutOffer = (offer: Offer): Offer[] =>
		offer.kind === 'layers' && offer.version === version
			? [
					{
						...offer,
						version: gapVersion,
						fromLayer: Math.max(0, offer.fromLayer - fromLayer),
						toLayer: Math.min(toLayer, offer.toLayer) - fromLayer,
					},
				].filter((cut) => cut.fromLayer < cut.toLayer)
			: [];
	const cutHost = (host: ConnectedHost): ConnectedHost => ({
		...host,
		offers: host.offers.flatMap((offer) => cutOffer(offer)),
	});
	const connected = new Map(
		[...hosts.connected].map(([id, host]) => [id, cutHost(host)]),
	);
	const used = stages.map(({host}) => host);
	const gap: Gap = {
		hosts: {...hosts, connected},
		layers: toLayer - fromLayer,
		version: gapVersion,
		excluding: [...excluding, ...used],
	};
	// A host that failed earlier may have come back.
	const chosen = choose(gap) ?? choose({...gap, excluding: used});
	return (
		chosen && [
			...stages.slice(0, index),
			...chosen.map((each) => ({
				...each,
				fromLayer: each.fromLayer + fromLayer,
				toLayer: each.toLayer + fromLayer,
			})),
			...stages.slice(index + 1),
		]
	);
}
