/**
 * Formats the canonical text of states. Successive states share the parts that a
 * step does not change, so the text of each part is cached by object identity.
 */
const cachedTexts = new WeakMap<object, string>();

/** Formats an immutable part of a state as JSON. */
export function formatPart(part: object): string {
	const cached = cachedTexts.get(part);
	if (cached !== undefined) {
		return cached;
	}

	const text = JSON.stringify(part);
	cachedTexts.set(part, text);
	return text;
}

/** Formats a list of immutable parts as joined JSON texts. */
export const formatParts = (parts: readonly object[]): string =>
	parts.map((part) => formatPart(part)).join(';');
