/** Admits a model request, and tells the admission what its caller saw. */
import type {
	AdmissionController,
	AdmissionRequest,
	Failure,
	Milliseconds,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import type {ModelBody} from './model-body.js';
import type {RouteContext} from './model-route.js';
import {measureRequest} from './model-routing.js';

/** A request that was admitted. */
export type AdmittedRequest = {
	readonly recordToken: (now: Milliseconds) => void;
	/** Called once, at the end. */
	readonly finish: (now: Milliseconds) => void;
};

const defaultWeight = 1;

/** Admits a request or refuses it as not run. */
export function decideAdmission(
	admission: AdmissionController,
	{customer, view, deadlineMs}: RouteContext,
	body: ModelBody,
	now: Milliseconds,
): Result<AdmittedRequest, Failure> {
	const {promptTokens, answerTokens} = measureRequest({body});
	const request: AdmissionRequest = {
		customer,
		weight: view.customers.get(customer)?.weight ?? defaultWeight,
		work: promptTokens + answerTokens,
		answerTokens,
		deadlineMs,
	};
	return admission
		.admit(request, now)
		.map(() => createAdmitted(admission, request, now));
}

function createAdmitted(
	admission: AdmissionController,
	request: AdmissionRequest,
	startedAt: Milliseconds,
): AdmittedRequest {
	let last: Milliseconds | undefined;
	return {
		recordToken(now) {
			if (last === undefined) {
				admission.recordFirstToken(request, now - startedAt, now);
			} else {
				admission.recordTokenGap(request.customer, now - last, now);
			}

			last = now;
		},
		finish(now) {
			admission.recordEnd(request, now);
		},
	};
}
