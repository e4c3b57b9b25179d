/**
 * Prompt tokens that the stages of a pipeline found cached. Each stage adds its
 * count to its first output, so that the first token tells the entry all of them.
 */
import type {Activation} from '../protocol/messages.js';
import type {OpenStage, StageInput} from '../state/stage-record.js';
import type {StepOutput} from './stage-protocol.js';

/** Field of an output that tells the cached prompt tokens of each stage so far. */
export type CachedTokens = Pick<Activation, 'cached'>;

/** Finds what the stages before found cached; the first stage has none before it. */
export function findCachedBefore(
	input: StageInput,
): Pick<OpenStage, 'cachedBefore'> {
	const cachedBefore = input.type === 'run' ? [] : input.message.cached;
	return cachedBefore ? {cachedBefore} : {};
}

/**
 * Lists the cached prompt tokens up to this stage with its first output; none
 * for later outputs, or if a stage didn't tell.
 */
export const listCachedTokens = (
	{next, open, cachedBefore}: OpenStage,
	{cachedTokens}: StepOutput,
): CachedTokens =>
	next === open.fromPosition &&
	cachedBefore?.length === open.index &&
	cachedTokens !== undefined
		? {cached: [...cachedBefore, cachedTokens]}
		: {};
