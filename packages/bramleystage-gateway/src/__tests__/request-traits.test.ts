/** Which requests are the same, as far as that may end backend servers. */
import {expect, test} from 'vitest';
import type {Call} from '../call.js';
import {buildRequestTraits} from '../request-traits.js';

type Facts = {
	readonly target?: string;
	readonly body?: string;
	readonly customer?: string;
	readonly method?: string;
	readonly parts?: readonly string[];
};

/** Builds a call of which only what makes up its traits is there. */
const buildCall = ({
	target = '/look/a',
	body = 'body',
	customer = 'castle',
	method = 'POST',
	parts = [],
}: Facts) =>
	({
		service: {name: 'desk'},
		metadata: {promptParts: parts},
		holder: {customer},
		method,
		target,
		body: Buffer.from(body),
	}) as unknown as Call;

const listForms = (facts: Facts) => {
	const {shared, forms} = buildRequestTraits(buildCall(facts));
	return [...shared, ...forms];
};

const countCommonForms = (one: Facts, other: Facts): number => {
	const forms = new Set<string>(listForms(other));
	return listForms(one).filter((form) => forms.has(form)).length;
};

// Guards against repeats that are taken for other requests because something else of them differs.
test.each<[string, Facts, Facts]>([
	['query', {target: '/look/a?n=1'}, {target: '/look/a?n=2'}],
	['query there or not', {target: '/look/a'}, {target: '/look/a?n=2'}],
	['method', {method: 'GET'}, {method: 'POST'}],
	['parts', {parts: ['b']}, {parts: ['c']}],
])(
	'requests of one path, caller and body have a form in common: %s',
	(_name, one, other) => {
		expect(countCommonForms(one, other)).toBeGreaterThan(0);
	},
);

test.each<[string, Facts, Facts]>([
	['path', {target: '/look/a'}, {target: '/look/b'}],
	['body', {body: 'a'}, {body: 'b'}],
	[
		'caller and query',
		{target: '/look/a?n=1'},
		{target: '/look/a?n=2', customer: 'b'},
	],
	['parts without body', {parts: ['b'], body: ''}, {parts: ['c'], body: ''}],
])('requests that differ otherwise have none: %s', (_name, one, other) => {
	expect(countCommonForms(one, other)).toBe(0);
});

test('requests that differ only in one parameter have more in common than others of the path', () => {
	const guilty = {target: '/look/a?isbn=1&n=1'};
	expect(countCommonForms(guilty, {target: '/look/a?isbn=1&n=2'})).toBe(3);
	expect(countCommonForms(guilty, {target: '/look/a?isbn=2&n=2'})).toBe(2);
	expect(countCommonForms(guilty, {target: '/look/a?page=2'})).toBe(1);
});
