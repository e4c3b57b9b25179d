/**
 * Canonical text of states. Steps share the parts of a state that they do not
 * change, so the text of each part is kept with the part.
 */
const texts = new WeakMap<object, string>();

/** Gives the JSON text of an immutable part of a state. */
export function formatPart(part: object): string {
	const known = texts.get(part);
	if (known !== undefined) {
		return known;
	}

	const text = JSON.stringify(part);
	texts.set(part, text);
	return text;
}

/** Gives the joined texts of a list of parts. */
export const formatParts = (parts: readonly object[]): string =>
	parts.map((part) => formatPart(part)).join(';');
