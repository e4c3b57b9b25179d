/**
 * Estimate of a prompt's length in tokens, used until an engine has tokenized
 * the prompt. The engine reports the exact count with its first output.
 */

/** Mean number of characters of a token. */
export const charactersPerToken = 5;

/** Estimates the number of tokens of a prompt from its length in characters. */
export const estimatePromptTokens = (prompt: string) =>
	Math.max(1, Math.ceil(prompt.length / charactersPerToken));
