/** Calls for tests of the measured demand. */
import {toServiceName} from 'bramleystage';
import type {Call} from '../call.js';
import {modelService} from './model-service.js';

export type CallFacts = {
	readonly service?: string;
	readonly route?: string;
	readonly priority?: number;
	readonly promptTokens?: number;
	readonly maxAnswerTokens?: number;
	readonly answerTokensHint?: number;
	readonly lastEvent?: string;
};

export const buildCall = ({
	service = 'models',
	route = 'chat',
	priority = 0,
	promptTokens = 300,
	maxAnswerTokens = 400,
	answerTokensHint,
	lastEvent,
}: CallFacts = {}): Call =>
	({
		service: {...modelService, name: toServiceName(service)},
		route: {name: route, priority},
		metadata: {promptTokens, maxAnswerTokens, answerTokensHint, lastEvent},
	}) as unknown as Call;
