/** The entry's routing: which stages or which agent a request goes to. */
import {
	choosePipeline,
	type ConnectedHost,
	type HostId,
	type HostsSnapshot,
	listAvailableHosts,
	listCandidates,
	replaceStage,
	type ServiceName,
	type Stage,
	type StageCandidate,
	type Target,
} from 'bramleystage';
import type {LostStage, ModelRequest} from './model-desk.js';

/** Work that this entry has at a host now, in requests. */
export type CountInFlight = (host: HostId) => number;

const msPerSecond = 1000;

/** Chooses a pipeline among the hosts that were not excluded. */
export function chooseStages(
	hosts: HostsSnapshot,
	request: ModelRequest,
	excluding: readonly HostId[],
	countInFlight: CountInFlight,
): readonly Stage[] | undefined {
	const {layers} = request.model;
	if (layers === undefined) {
		return undefined;
	}

	const candidates = listCandidates(listUsable(hosts, excluding), {
		model: request.body.model,
		version: request.model.version,
		layers,
	});
	const stageCost = ({host, offer}: StageCandidate, count: number) => {
		const serviceMs = (count * msPerSecond) / offer.layerTokensPerSecond;
		return serviceMs * (1 + countInFlight(host.host) + host.load.queued);
	};

	const linkCost = (from: StageCandidate, to: StageCandidate) =>
		from.host.dataCentre === to.host.dataCentre ? 0 : 1;
	return choosePipeline(candidates, layers, {stageCost, linkCost});
}

/** Chooses the pipeline with its lost stage replaced; the others stay. */
export function replaceModelStage(
	hosts: HostsSnapshot,
	request: ModelRequest,
	lost: LostStage,
	countInFlight: CountInFlight,
): readonly Stage[] | undefined {
	const {version} = request.model;
	return replaceStage({...lost, version}, hosts, (gap) => {
		const {layers, version} = gap;
		const model = {...request.model, layers, version};
		return chooseStages(
			gap.hosts,
			{...request, model},
			gap.excluding,
			countInFlight,
		);
	});
}

/** Chooses the least loaded agent that offers a service. */
export function chooseTarget(
	hosts: HostsSnapshot,
	service: ServiceName,
	excluding: readonly HostId[],
	countInFlight: CountInFlight,
): Target | undefined {
	const candidates = listUsable(hosts, excluding).filter(({offers}) =>
		offers.some(
			(offer) => offer.kind === 'service' && offer.service === service,
		),
	);
	const measureLoad = ({host, load}: ConnectedHost) =>
		countInFlight(host) + load.queued + load.running;
	const [least] = candidates.toSorted(
		(a, b) => measureLoad(a) - measureLoad(b),
	);
	return least;
}

function listUsable(
	hosts: HostsSnapshot,
	excluding: readonly HostId[],
): ConnectedHost[] {
	return listAvailableHosts(hosts).filter(
		({host}) => !excluding.includes(host),
	);
}
