/**
 * Routing of service calls by idempotency key. Rendezvous hashing maps a key to
 * one agent of the service, so entries that see the same agents send retries of a
 * call to the agent that has recorded its answer. Correctness does not depend on
 * it: the claims in the log decide which call runs.
 */
import {
	type Call,
	formatClaimKey,
	type HostId,
	type HostsSnapshot,
	listAvailableHosts,
	selectByRendezvous,
	type DispatchTarget,
} from 'bramleystage';

/** Chooses the agent for a call's key among the available agents of its service. */
export function chooseAgentByKey(
	snapshot: HostsSnapshot,
	call: Omit<Call, 'incarnation'>,
	excluding: readonly HostId[],
): DispatchTarget | undefined {
	const agents = listAvailableHosts(snapshot).filter(
		({host, offers}) =>
			!excluding.includes(host) &&
			offers.some(
				(offer) => offer.kind === 'service' && offer.service === call.service,
			),
	);
	const [chosenHost] = selectByRendezvous(
		formatClaimKey(call),
		agents.map(({host}) => host),
		1,
	);
	return agents.find(({host}) => host === chosenHost);
}
