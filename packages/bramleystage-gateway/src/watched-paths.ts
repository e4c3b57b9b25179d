/** The paths that streams run on, for the monitor. */
import {type BackendId, type PathStage, splitBy} from 'bramleystage';
import {formatPathKey} from './path-pace.js';
import type {SilenceLimits} from './path-silence.js';
import type {StreamRun} from './stream-run.js';

export type WatchedPath = {
	readonly key: string;
	readonly first: PathStage;
	readonly streams: readonly StreamRun[];
};

/** A silent path, and whether some of its streams had events when its inspection began. */
export type InspectedPath = WatchedPath & {readonly hadEvents: boolean};

/** Lists the paths of the streams that have one. */
export function listWatchedPaths(streams: Iterable<StreamRun>): WatchedPath[] {
	const byKey = splitBy(
		[...streams].filter(({path}) => path.length > 0),
		({path}) => formatPathKey(path),
	);
	return [...byKey].flatMap(([key, onPath]) => {
		const first = onPath[0]?.path[0];
		return first ? [{key, first, streams: onPath}] : [];
	});
}

export const toInspectedPath = (path: WatchedPath): InspectedPath => ({
	...path,
	hadEvents: path.streams.some(({hasEvents}) => hasEvents),
});

/** Whether one of the engines of a path is a suspect. */
export const isAffected = (
	path: readonly PathStage[],
	suspects: readonly BackendId[],
): boolean => path.some(({id}) => suspects.includes(id));

/** The limits as they are when the load of the first engine explains no wait. */
export const toUnexplainedLimits = (limits: SilenceLimits): SilenceLimits => ({
	...limits,
	uninspectedMs: limits.firstEventMs,
});
