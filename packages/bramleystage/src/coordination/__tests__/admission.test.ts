import {describe, expect, it} from 'vitest';
import {toCustomerId} from '../../protocol/ids.js';
import {AdmissionController, type AdmissionRequest} from '../admission.js';

const createRequest = (
	customer: string,
	facts: Partial<AdmissionRequest> = {},
): AdmissionRequest => ({
	customer: toCustomerId(customer),
	weight: 1,
	work: 1000,
	answerTokens: 20,
	deadlineMs: 10_000,
	...facts,
});

function countAdmitted(
	admission: AdmissionController,
	request: AdmissionRequest,
): number {
	let count = 0;
	while (admission.admit(request, 0).isOk()) {
		count++;
	}

	return count;
}

const targets = {firstTokenMs: 400, tokenGapMs: 40};

describe('Admission', () => {
	it('bounds the work in flight and refuses the rest as not run, with a time to retry', () => {
		const admission = new AdmissionController(targets);
		const request = createRequest('a');
		expect(countAdmitted(admission, request)).toBe(8);
		const failure = admission.admit(request, 0)._unsafeUnwrapErr();
		expect(failure.result).toBe('queueFull');
		expect(failure.outcome).toBe('not-run');
		expect(failure.retryAfterSeconds).toBeGreaterThan(0);
		admission.recordEnd(request, 0);
		expect(admission.admit(request, 0).isOk()).toBe(true);
	});

	it('isolates other customers from a burst of one customer', () => {
		const admission = new AdmissionController(targets);
		countAdmitted(admission, createRequest('large'));
		expect(admission.admit(createRequest('small'), 0).isOk()).toBe(true);
	});

	it('shrinks the window while first tokens are late and grows it again when they are not', () => {
		const admission = new AdmissionController(targets);
		const request = createRequest('a', {work: 500});
		const before = countAdmitted(admission, request);
		for (let now = 0; now < 5000; now += 250) {
			admission.recordFirstToken(request, 900, now);
		}

		for (let index = 0; index < before; index++) {
			admission.recordEnd(request, 5000);
		}

		const late = countAdmitted(admission, request);
		expect(late).toBeLessThan(before);
		expect(late).toBeGreaterThan(0);
		for (let index = 0; index < 500; index++) {
			admission.recordFirstToken(request, 50, 6000);
		}

		for (let index = 0; index < late; index++) {
			admission.recordEnd(request, 6000);
		}

		expect(countAdmitted(admission, request)).toBeGreaterThan(late);
	});

	it('does not shrink the window for the time that a long prompt takes by itself', () => {
		const admission = new AdmissionController(targets);
		const request = createRequest('a', {work: 2020});
		const before = countAdmitted(admission, request);
		for (let now = 0; now < 5000; now += 250) {
			admission.recordFirstToken(request, 1200, now);
		}

		for (let index = 0; index < before; index++) {
			admission.recordEnd(request, 5000);
		}

		expect(countAdmitted(admission, request)).toBeGreaterThanOrEqual(before);
	});

	it('does not shrink the window for gaps that slow links explain', () => {
		const admission = new AdmissionController(targets);
		const request = createRequest('a', {work: 500});
		const before = countAdmitted(admission, request);
		for (let now = 0; now < 5000; now += 50) {
			admission.recordTokenGap(request.customer, 60 + (now % 100) / 10, now);
		}

		for (let index = 0; index < before; index++) {
			admission.recordEnd(request, 5000);
		}

		expect(countAdmitted(admission, request)).toBe(before);
	});

	it('shrinks the window when gaps rise above the recent minimum', () => {
		const admission = new AdmissionController(targets);
		const request = createRequest('a', {work: 500});
		const before = countAdmitted(admission, request);
		admission.recordTokenGap(request.customer, 5, 0);
		for (let now = 50; now < 5000; now += 50) {
			admission.recordTokenGap(request.customer, 60, now);
		}

		for (let index = 0; index < before; index++) {
			admission.recordEnd(request, 5000);
		}

		expect(countAdmitted(admission, request)).toBeLessThan(before);
	});

	it('refuses requests that cannot meet their deadline, but admits one at a time to measure', () => {
		const admission = new AdmissionController(targets);
		const request = createRequest('a', {work: 100, deadlineMs: 300});
		expect(admission.admit(request, 0).isOk()).toBe(true);
		for (let index = 0; index < 20; index++) {
			admission.recordFirstToken(request, 390, 0);
		}

		const failure = admission.admit(request, 0)._unsafeUnwrapErr();
		expect(failure.result).toBe('deadlineUnreachable');
		expect(failure.outcome).toBe('not-run');
		admission.recordEnd(request, 0);
		expect(admission.admit(request, 0).isOk()).toBe(true);
	});

	it('removes idle customers', () => {
		const admission = new AdmissionController(targets);
		const request = createRequest('a');
		admission.admit(request, 0);
		admission.removeIdle(100_000);
		expect(admission.size).toBe(1);
		admission.recordEnd(request, 100_000);
		admission.removeIdle(200_000);
		expect(admission.size).toBe(0);
	});
});
