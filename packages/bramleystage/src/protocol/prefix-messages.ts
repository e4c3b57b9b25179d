/**
 * What an agent reports of the prompt prefixes that its engine keeps. The
 * fields are optional parts of other messages; a build that doesn't know them
 * ignores them.
 */
import * as z from 'zod';

/** Maximum number of named blocks of one prompt. */
export const maxPrefixBlocks = 64;
/** Maximum number of changes in one report. */
export const maxReportedChanges = 64;

const hash = z.int().min(0).max(0xff_ff_ff_ff);
const count = z.int().min(0);

/** Names of a prompt's leading blocks at one stage. */
export const prefixBlocksSchema = z.array(hash).max(maxPrefixBlocks);

/** Prompt tokens that the stages of a pipeline found cached, first stage first. */
export const cachedTokensSchema = z.array(count).max(64);

/** The latest changes of the prefixes that an engine keeps, and its free room. */
export const prefixReportSchema = z.object({
	/** Changes when the agent no longer knows what its engine keeps. */
	epoch: count,
	/** Number of the first change listed; a skipped number is a gap. */
	first: count,
	/** Names of the blocks that changed, oldest change first. */
	blocks: z.array(hash).max(maxReportedChanges),
	/** Indexes into `blocks` of those that were removed; the others were stored. */
	removed: z.array(count).max(maxReportedChanges),
	/** Tokens that the engine keeps at most; absent while it has evicted none. */
	capacityTokens: z.number().min(0).optional(),
	/** Further steps that the agent accepts. */
	room: z.number().min(0),
});
export type PrefixReport = z.infer<typeof prefixReportSchema>;
