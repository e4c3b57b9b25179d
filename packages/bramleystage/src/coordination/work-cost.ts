/**
 * Cost of model work in tokens, as it is estimated before an engine has seen
 * the prompt. An engine reports the true count with its first output.
 */

const charactersPerToken = 5;

/** Estimates the tokens of a prompt from its length. */
export const computePromptCost = (prompt: string) =>
	Math.max(1, Math.ceil(prompt.length / charactersPerToken));
