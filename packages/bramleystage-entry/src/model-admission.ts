/**
 * Admission control of model requests, with feedback on the token latency of
 * callers.
 */
import type {
	AdmissionController,
	AdmissionRequest,
	Failure,
	Milliseconds,
} from 'bramleystage';
import type {Result} from 'neverthrow';
import type {ModelBody} from './model-body.js';
import type {RequestContext} from './model-route.js';
import {estimateRequestShape} from './model-routing.js';

/** Reports the progress of an admitted request to the admission controller. */
export type AdmittedRequest = {
	readonly recordToken: (now: Milliseconds) => void;
	/** Called once, at the end. */
	readonly recordEnd: (now: Milliseconds) => void;
};

const defaultWeight = 1;

/** Admits a request, or returns a failure with the outcome `not-run`. */
export function decideAdmission(
	admission: AdmissionController,
	{customer, view, deadlineMs}: RequestContext,
	body: ModelBody,
	now: Milliseconds,
): Result<AdmittedRequest, Failure> {
	const {promptTokens, answerTokens} = estimateRequestShape({body});
	const request: AdmissionRequest = {
		customer,
		weight: view.customers.get(customer)?.weight ?? defaultWeight,
		work: promptTokens + answerTokens,
		answerTokens,
		deadlineMs,
	};
	return admission
		.admit(request, now)
		.map(() => createAdmittedRequest(admission, request, now));
}

function createAdmittedRequest(
	admission: AdmissionController,
	request: AdmissionRequest,
	startedAt: Milliseconds,
): AdmittedRequest {
	let lastTokenAt: Milliseconds | undefined;
	return {
		recordToken(now) {
			if (lastTokenAt === undefined) {
				admission.recordFirstToken(request, now - startedAt, now);
			} else {
				admission.recordTokenGap(request.customer, now - lastTokenAt, now);
			}

			lastTokenAt = now;
		},
		recordEnd(now) {
			admission.recordEnd(request, now);
		},
	};
}
