/**
 * Fencing of an entry's sessions at an agent. Sessions of one entry incarnation
 * are numbered in the order they were opened; once a newer one is known, frames
 * of an older one are late and dropped. No clock is involved.
 */
import type {SessionNumber} from '../protocol/ids.js';

/** Highest session number seen of one entry incarnation. */
export type SessionFence = {readonly newest: SessionNumber};

/** Takes a session's number; a lower one leaves the fence where it is. */
export function updateFence(
	fence: SessionFence | undefined,
	session: SessionNumber,
): SessionFence {
	return fence && fence.newest >= session ? fence : {newest: session};
}

/** Tells whether frames of a session may still be obeyed. */
export function isCurrentSession(
	fence: SessionFence | undefined,
	session: SessionNumber,
): boolean {
	return fence !== undefined && session >= fence.newest;
}
