/** Refusals of requests that have not run, with the time at which callers should return. */
import {
	type BackendId,
	computeReturnMs,
	createFailure,
	type Failure,
	type GatewayService,
} from 'bramleystage';
import type {Fleet} from './fleet.js';

const msPerSecond = 1000;

export type RefusalResult =
	'noPipeline' | 'noBackend' | 'deadlineUnreachable' | 'queueFull';

export type RefusalFacts = {
	readonly fleet: Pick<Fleet, 'computePauseMs'>;
	readonly service: GatewayService;
	/** Time until a server whose limit is used up has room, in milliseconds; undefined if limits are not the reason. */
	readonly roomInMs: number | undefined;
	readonly remainingMs: number;
	readonly drawRandom: () => number;
};

export function buildRefusal(
	result: RefusalResult,
	detail: string,
	{fleet, service, roomInMs, remainingMs, drawRandom}: RefusalFacts,
): Failure {
	const isUnserved = result === 'noPipeline' || result === 'noBackend';
	const pauseMs = isUnserved ? fleet.computePauseMs(service) : undefined;
	const returnMs = computeReturnMs(
		{roomInMs: roomInMs ?? pauseMs, remainingMs},
		drawRandom,
	);
	return createFailure(result, detail, {
		retryAfterSeconds: returnMs / msPerSecond,
	});
}

/** Describes why no backend server takes a request; those in `full` have no room in time. */
export function describeNoBackend(
	{pipeline}: GatewayService,
	full: ReadonlySet<BackendId>,
): {readonly result: RefusalResult; readonly detail: string} {
	if (full.size > 0) {
		const servers = [...full].join(', ');
		return {
			result: 'queueFull',
			detail: `The limits of the servers leave no room in time: ${servers}.`,
		};
	}

	return {
		result: pipeline ? 'noPipeline' : 'noBackend',
		detail: 'No backend server is usable.',
	};
}
