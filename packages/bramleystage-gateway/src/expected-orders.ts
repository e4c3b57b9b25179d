/**
 * Reads from an engine's report how many orders it has accepted, which the next order
 * names. The report may be that of another engine, which has taken the address over: the
 * order names its engine too, so that any other one refuses it.
 */
import type {Backend, Logger} from 'bramleystage';
import type {InstanceWatch} from './instance-watch.js';

/** Timeout for an answer of an engine, in milliseconds. */
export const engineTimeoutMs = 500;

/** Reads how many orders an engine has accepted; undefined if it takes no order now. */
export async function readExpectedOrders(
	{id, address}: Backend,
	{
		instances,
		logger,
	}: {
		readonly instances: Pick<InstanceWatch, 'readReport'>;
		readonly logger: Logger;
	},
): Promise<number | undefined> {
	const report = await instances.readReport({id, address}, engineTimeoutMs);
	if (!report) {
		return undefined;
	}

	if (report.isErr()) {
		logger.warn('order.unsent', {backend: id, detail: report.error.detail});
		return undefined;
	}

	const {isLeaving, isBusy, orderCount} = report.value;
	return isLeaving || isBusy ? undefined : orderCount;
}
