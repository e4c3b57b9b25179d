/**
 * Reads from an engine's report how many orders it has accepted, which the next order
 * names. The address of an engine that has ended may belong to another one by now, whose
 * report says nothing of the first.
 */
import type {Backend, Logger} from 'bramleystage';
import type {InstanceWatch} from './instance-watch.js';

/** Timeout for an answer of an engine, in milliseconds. */
export const engineTimeoutMs = 500;

/** Whether a list entry and a report are of one instance, as far as both give its start. */
export const isSameStart = (listed: number, reported: number): boolean =>
	listed === 0 || reported === 0 || listed === reported;

/** Reads how many orders an engine has accepted; undefined if it takes no order now. */
export async function readExpectedOrders(
	{id, address, bornAt}: Backend,
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
	if (!isSameStart(bornAt, report.value.bornAt)) {
		const detail = 'The report is that of another instance.';
		logger.warn('order.unsent', {backend: id, address, detail});
		return undefined;
	}

	return isLeaving || isBusy ? undefined : orderCount;
}
