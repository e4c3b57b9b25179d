/** Logs the changes of the list of backend servers. */
import type {BackendsSnapshot, Logger} from 'bramleystage';

type Backends = BackendsSnapshot['backends'];

/** Writes a line for each entry that is new, has changed or is gone. */
export function recordBackendChanges(
	logger: Logger,
	previous: Backends,
	next: Backends,
): void {
	for (const [id, backend] of next) {
		if (previous.get(id) !== backend) {
			logger.info('backend.listed', {
				backend: id,
				service: backend.service,
				address: backend.address,
				data_centre: backend.dataCentre,
				draining: backend.isDraining,
				kind: backend.kind,
				layers: backend.layers && `${backend.layers.from}-${backend.layers.to}`,
			});
		}
	}

	for (const [id, {address}] of previous) {
		if (!next.has(id)) {
			logger.info('backend.removed', {backend: id, address});
		}
	}
}
