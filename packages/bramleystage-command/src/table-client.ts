/**
 * The table client of the table subcommands. It folds the log into a table of
 * its own, publishes edits to the log, and waits until every live process has
 * folded them.
 */
import {randomUUID} from 'node:crypto';
import {
	createFailure,
	createLogger,
	type EditResult,
	editRecordSchema,
	type Failure,
	LifeCycle,
	listLaggingProcesses,
	type LogOffset,
	logOffsetSchema,
	parseJson,
	PlatformClient,
	type ProcessOffset,
	publishEdit,
	type RowChange,
	sendHttpRequest,
	TableFollower,
	type TableSnapshot,
	toDataCentreId,
	waitFor,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';

export type TableClientOptions = {
	readonly platform: string;
	/** Addresses of the operators' ports of the entries, as `host:port`. */
	readonly operators: readonly string[];
	readonly author: string;
	/** Longest wait for the log, for an edit's outcome and for the processes, each. */
	readonly timeoutMs: number;
};

const pollIntervalMs = 100;
/** Time without a byte after which a dump is asked for again, in milliseconds. */
const dumpSilenceMs = 1000;
/** Largest number of rows in one record; a larger import is split into several records. */
const maxRowsInRecord = 2000;

/** The fields of an entry's `/dump` output that are read here. */
const dumpSchema = z.object({
	host: z.string(),
	tableOffset: logOffsetSchema,
	tablePeers: z.record(z.string(), logOffsetSchema),
});

const readClock = () => performance.now();

export class TableClient {
	readonly platform: PlatformClient;
	readonly #lifeCycle = new LifeCycle();
	readonly #follower: TableFollower;

	constructor(private readonly options: TableClientOptions) {
		this.platform = new PlatformClient(options.platform);
		this.#follower = new TableFollower({
			platform: this.platform,
			dataCentre: toDataCentreId('operator'),
			lifeCycle: this.#lifeCycle,
			logger: createLogger('error', {}),
			readClock,
		});
	}

	/** Waits until the log has been read to its end and returns the table; fails with `logUnavailable` at the timeout. */
	async readTable(): Promise<Result<TableSnapshot, Failure>> {
		const deadline = readClock() + this.options.timeoutMs;
		while (this.#follower.provedCompleteAt === undefined) {
			if (readClock() > deadline) {
				const detail = 'The table could not be read from the log.';
				return err(
					createFailure('logUnavailable', detail, {outcome: 'not-run'}),
				);
			}

			// eslint-disable-next-line no-await-in-loop -- polls until read
			await waitFor(pollIntervalMs);
		}

		return ok(this.#follower.table.value);
	}

	/** The table as folded so far. */
	get table(): TableSnapshot {
		return this.#follower.table.value;
	}

	/**
	 * Publishes changes, at most `maxRowsInRecord` rows in a record. Stops with a
	 * failure at the first record whose outcome is unknown.
	 */
	async publish(
		changes: readonly RowChange[],
	): Promise<Result<EditResult[], Failure>> {
		const results: EditResult[] = [];
		for (let from = 0; from < changes.length; from += maxRowsInRecord) {
			const record = editRecordSchema.parse({
				kind: 'edit',
				format: 1,
				edit: randomUUID(),
				author: this.options.author,
				at: new Date().toISOString(),
				changes: changes.slice(from, from + maxRowsInRecord),
			});
			// eslint-disable-next-line no-await-in-loop -- records are published in order
			const result = await publishEdit(record, {
				platform: this.platform,
				follower: this.#follower,
				timeoutMs: this.options.timeoutMs,
				readClock,
			});
			if (result.isErr()) {
				return err(result.error);
			}

			results.push(result.value);
		}

		return ok(results);
	}

	/**
	 * Waits until every live process has folded the record at an offset. Returns
	 * the processes that still lag at the timeout; none if all have folded it.
	 */
	async waitUntilInForce(offset: LogOffset): Promise<ProcessOffset[]> {
		const deadline = readClock() + this.options.timeoutMs;
		/* eslint-disable no-await-in-loop -- polls until all have folded it */
		for (;;) {
			const processes = await this.#listProcesses(
				computeDumpTimeoutMs(deadline, readClock()),
			);
			const lagging = listLaggingProcesses(processes, offset);
			if (lagging.length === 0 || readClock() > deadline) {
				return lagging;
			}

			await waitFor(pollIntervalMs);
		}
		/* eslint-enable no-await-in-loop */
	}

	async close(): Promise<void> {
		await this.#lifeCycle.stop();
	}

	/**
	 * Lists the configured entries and the live processes of the host list. The
	 * offset of a process that isn't queried is the largest that an entry reports
	 * for it; `next` is undefined where no offset is known.
	 * A host list that can't be read is listed as a process without an offset.
	 */
	async #listProcesses(dumpTimeoutMs: number): Promise<ProcessOffset[]> {
		const [listed, ...dumps] = await Promise.all([
			this.platform.listHosts(),
			...this.options.operators.map(async (address) =>
				readDump(address, dumpTimeoutMs),
			),
		]);
		const reportedOffsets = new Map<string, LogOffset>();
		const queried: ProcessOffset[] = [];
		for (const [index, dump] of dumps.entries()) {
			if (dump === undefined) {
				const host = this.options.operators[index] ?? '';
				queried.push({host, next: undefined});
				continue;
			}

			for (const [host, next] of Object.entries(dump.tablePeers)) {
				reportedOffsets.set(
					host,
					Math.max(next, reportedOffsets.get(host) ?? 0) as LogOffset,
				);
			}

			reportedOffsets.set(dump.host, dump.tableOffset);
			queried.push({host: dump.host, next: dump.tableOffset});
		}

		const live = listed.isOk()
			? listed.value.filter(({state}) => state === 'live')
			: [{host: 'platform host list'}];
		return [
			...queried,
			...live
				.filter(({host}) => queried.every((each) => each.host !== host))
				.map(({host}) => ({host, next: reportedOffsets.get(host)})),
		];
	}
}

/**
 * Computes the limit of a dump as a whole, in milliseconds: half of the time left,
 * so that one without an end leaves time to ask the other processes again.
 */
const computeDumpTimeoutMs = (deadline: number, now: number): number =>
	Math.max(dumpSilenceMs, (deadline - now) / 2);

/** Reads the table offsets of an entry; undefined if it can't be reached or the dump is invalid. */
async function readDump(
	address: string,
	timeoutMs: number,
): Promise<z.infer<typeof dumpSchema> | undefined> {
	const response = await sendHttpRequest({
		method: 'GET',
		url: `http://${address}/dump`,
		silenceMs: dumpSilenceMs,
		timeoutMs,
	});
	const parsed = dumpSchema.safeParse(
		response.isOk() ? parseJson(response.value.body.toString()) : undefined,
	);
	return parsed.data;
}
