/**
 * Replacement of one stage of a pipeline. The layers of the lost stage are
 * treated as a model of their own: the hosts' offers are clipped to those
 * layers, so that the ordinary pipeline selection can cover them, with one or
 * more stages.
 */
import type {HostId} from '../protocol/ids.js';
import type {Offer, Stage} from '../protocol/messages.js';
import type {ConnectedHost, HostsSnapshot} from '../state/hosts.js';

/** The uncovered layers of a lost stage and the hosts that may cover them. */
export type UncoveredLayers = {
	readonly hosts: HostsSnapshot;
	readonly layers: number;
	/** Model version under which the clipped offers are listed. */
	readonly version: string;
	/** Hosts that must not be used: failed ones and those of the current stages. */
	readonly excluding: readonly HostId[];
};

/** Chooses stages that cover the uncovered layers, numbered from 0. */
export type ChooseForUncoveredLayers = (
	uncovered: UncoveredLayers,
) => readonly Stage[] | undefined;

/**
 * Returns the stages with the lost one replaced, or undefined if there is no
 * replacement.
 */
export function replaceStage(
	lost: {
		readonly stages: readonly Stage[];
		readonly index: number;
		readonly version: string;
		readonly excluding: readonly HostId[];
	},
	hosts: HostsSnapshot,
	choose: ChooseForUncoveredLayers,
): readonly Stage[] | undefined {
	const {stages, index, version, excluding} = lost;
	const stage = stages[index];
	if (!stage) {
		return undefined;
	}

	const {fromLayer, toLayer} = stage;
	const uncoveredVersion = `${version} layers ${fromLayer}-${toLayer}`;
	const clipOffer = (offer: Offer): Offer[] =>
		offer.kind === 'layers' && offer.version === version
			? [
					{
						...offer,
						version: uncoveredVersion,
						fromLayer: Math.max(0, offer.fromLayer - fromLayer),
						toLayer: Math.min(toLayer, offer.toLayer) - fromLayer,
					},
				].filter((clipped) => clipped.fromLayer < clipped.toLayer)
			: [];
	const clipHost = (host: ConnectedHost): ConnectedHost => ({
		...host,
		offers: host.offers.flatMap((offer) => clipOffer(offer)),
	});
	const connected = new Map(
		[...hosts.connected].map(([id, host]) => [id, clipHost(host)]),
	);
	const usedHosts = stages.map(({host}) => host);
	const uncovered: UncoveredLayers = {
		hosts: {...hosts, connected},
		layers: toLayer - fromLayer,
		version: uncoveredVersion,
		excluding: [...excluding, ...usedHosts],
	};
	// Without another choice, hosts that failed earlier are tried again: they may
	// have recovered.
	const chosen =
		choose(uncovered) ?? choose({...uncovered, excluding: usedHosts});
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
