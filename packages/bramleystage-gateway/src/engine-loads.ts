/**
 * This gateway's requests in flight at each backend server, what engines last reported
 * of their load, and the load of all gateways, if it is measured.
 */
import {
	type BackendId,
	computeFleetFactor,
	type EngineLoad,
	type EngineLoadReport,
	type FleetLoad,
	type PathStage,
	type ServiceName,
	unmeasuredLoad,
} from 'bramleystage';

export type ReadFleetLoad = (service: ServiceName, now: number) => FleetLoad;

/** Work that this gateway has in flight at one backend server; `received` counts the requests that it sent there. */
export type InFlightWork = {
	readonly requests: number;
	readonly received: number;
	readonly layerTokens: number;
};

const noWork: InFlightWork = {requests: 0, received: 0, layerTokens: 0};

export class EngineLoads {
	readonly #inFlight = new Map<BackendId, InFlightWork>();
	readonly #reports = new Map<BackendId, EngineLoadReport>();

	constructor(
		/** Returns the number of gateways that share the load. */
		readonly countGateways: () => number,
		protected readonly readClock: () => number,
		protected readonly readFleetLoad: ReadFleetLoad = () => unmeasuredLoad,
	) {}

	/** Records the load that an engine reports with an answer; one that can't be true is ignored. */
	recordReport(id: BackendId, load: EngineLoad): void {
		if (load.running < 0 || load.waiting < 0 || load.slots <= 0) {
			return;
		}

		this.#reports.set(id, {
			...load,
			receivedAt: this.readClock(),
			ownRequests: this.findWork(id).received,
		});
	}

	/** Finds the last load that an engine reported. */
	findReport(id: BackendId): EngineLoadReport | undefined {
		return this.#reports.get(id);
	}

	/** Removes what a server reported that is listed anew or no longer. */
	removeReport(id: BackendId): void {
		this.#reports.delete(id);
	}

	/** Finds this gateway's work in flight at a backend server. */
	findWork(id: BackendId): InFlightWork {
		return this.#inFlight.get(id) ?? noWork;
	}

	/** Counts this gateway's requests in flight at a backend server. */
	countRequests(id: BackendId): number {
		return this.findWork(id).requests;
	}

	/** Counts a request as in flight at the stages until the returned function is called. */
	registerWork(
		stages: ReadonlyArray<Pick<PathStage, 'id' | 'layers'>>,
		tokens: number,
	): () => void {
		const add = (sign: 1 | -1) => {
			for (const [index, {id, layers}] of stages.entries()) {
				const {requests, received, layerTokens} = this.findWork(id);
				if (requests + sign === 0) {
					this.#inFlight.delete(id);
					continue;
				}

				this.#inFlight.set(id, {
					requests: requests + sign,
					received: received + (index === 0 ? sign : 0),
					layerTokens: layerTokens + sign * tokens * (layers.to - layers.from),
				});
			}
		};

		let isDone = false;
		add(1);
		return () => {
			if (!isDone) {
				isDone = true;
				add(-1);
			}
		};
	}

	/** Computes the part of the work of all gateways that is this one's, from 0 to 1. */
	computeOwnShare(service: ServiceName): number {
		return 1 / this.computeFactor(service, Number.POSITIVE_INFINITY);
	}

	/** Computes the factor from this gateway's work to that of all, at most a multiple of their number. */
	computeFactor(service: ServiceName, maxMultiple: number): number {
		const gateways = this.countGateways();
		const load = this.readFleetLoad(service, this.readClock());
		return load.isMeasured
			? Math.min(gateways * maxMultiple, computeFleetFactor(load, gateways))
			: Math.max(1, gateways);
	}
}
