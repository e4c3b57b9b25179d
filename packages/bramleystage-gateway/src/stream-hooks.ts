/** What streams tell the monitor of paths, as a part of their context. */
import type {StreamMonitor} from './stream-monitor.js';
import type {StreamRunContext} from './stream-run.js';

export const buildStreamHooks = (
	monitor: StreamMonitor,
): Pick<
	StreamRunContext,
	'checkFaultyEngine' | 'recordFirstEvent' | 'recordPause' | 'registerStream'
> => ({
	registerStream: (stream) => monitor.register(stream),
	checkFaultyEngine(stage) {
		void monitor.checkFaultyEngine(stage);
	},
	recordPause(path, pauseMs) {
		monitor.recordPause(path, pauseMs);
	},
	recordFirstEvent(delayMs, path) {
		monitor.recordFirstEvent(delayMs, path);
	},
});
