/**
 * Fencing of an entry's sessions at an agent. Sessions of one entry incarnation
 * are numbered in the order in which they were opened. Once a newer session is
 * known, frames of older ones are stale and dropped. No clock is involved.
 */
import type {SessionNumber} from '../protocol/ids.js';

/** Highest session number seen from one entry incarnation. */
export type SessionFence = {readonly newest: SessionNumber};

/** Raises the fence to a session's number; a lower number leaves it unchanged. */
export function updateSessionFence(
	fence: SessionFence | undefined,
	session: SessionNumber,
): SessionFence {
	return fence && fence.newest >= session ? fence : {newest: session};
}

/** Whether frames of a session are still accepted. */
export function isCurrentSession(
	fence: SessionFence | undefined,
	session: SessionNumber,
): boolean {
	return fence !== undefined && session >= fence.newest;
}
