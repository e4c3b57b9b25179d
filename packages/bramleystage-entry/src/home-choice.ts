/**
 * The home of an idempotency key: the agent of the service that ranks first for
 * the key. Every entry host that sees the same agents sends its repeats there,
 * where the answer is recorded. Correctness does not depend on it: the claims
 * in the log decide.
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

/** Chooses the home of a call's key among the available agents. */
export function chooseHome(
	snapshot: HostsSnapshot,
	call: Omit<Call, 'incarnation'>,
	excluding: readonly HostId[],
): DispatchTarget | undefined {
	const hosts = listAvailableHosts(snapshot).filter(
		({host, offers}) =>
			!excluding.includes(host) &&
			offers.some(
				(offer) => offer.kind === 'service' && offer.service === call.service,
			),
	);
	const [home] = selectByRendezvous(
		formatClaimKey(call),
		hosts.map(({host}) => host),
		1,
	);
	return hosts.find(({host}) => host === home);
}
