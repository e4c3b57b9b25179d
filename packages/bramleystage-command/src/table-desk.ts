/**
 * What the table subcommands share: the operator's own fold of the log, edits
 * published through it, and the wait until every live process has them.
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
	sendHttp,
	TableFollower,
	type TableSnapshot,
	toDataCentreId,
	waitFor,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';
import * as z from 'zod';

export type TableDeskOptions = {
	readonly platform: string;
	/** Operators' ports of the entries, `host:port`. */
	readonly operators: readonly string[];
	readonly author: string;
	readonly timeoutMs: number;
};

const stepMs = 100;
const dumpTimeoutMs = 1000;
/** Rows in one record; a larger import is split. */
const maxRowsInRecord = 2000;

const dumpSchema = z.object({
	host: z.string(),
	tableOffset: logOffsetSchema,
	tablePeers: z.record(z.string(), logOffsetSchema),
});

const readClock = () => performance.now();

export class TableDesk {
	readonly platform: PlatformClient;
	readonly #lifeCycle = new LifeCycle();
	readonly #follower: TableFollower;

	constructor(private readonly options: TableDeskOptions) {
		this.platform = new PlatformClient(options.platform);
		this.#follower = new TableFollower({
			platform: this.platform,
			dataCentre: toDataCentreId('operator'),
			lifeCycle: this.#lifeCycle,
			logger: createLogger('error', {}),
			readClock,
		});
	}

	/** Waits until the whole log was read; gives the table. */
	async readTable(): Promise<Result<TableSnapshot, Failure>> {
		const until = readClock() + this.options.timeoutMs;
		while (this.#follower.provedAt === undefined) {
			if (readClock() > until) {
				const detail = 'The table could not be read from the log.';
				return err(
					createFailure('logUnavailable', detail, {outcome: 'not-run'}),
				);
			}

			// eslint-disable-next-line no-await-in-loop -- polls until read
			await waitFor(stepMs);
		}

		return ok(this.#follower.table.value);
	}

	/** The table as last read. */
	get table(): TableSnapshot {
		return this.#follower.table.value;
	}

	/** Publishes changes; stops at the first record whose fate is not known. */
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
			// eslint-disable-next-line no-await-in-loop -- one after another
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

	/** Waits until every live process has an offset; gives those that lag at the end. */
	async waitUntilInForce(offset: LogOffset): Promise<ProcessOffset[]> {
		const until = readClock() + this.options.timeoutMs;
		/* eslint-disable no-await-in-loop -- polls until all have it */
		for (;;) {
			const lagging = listLaggingProcesses(await this.#listProcesses(), offset);
			if (lagging.length === 0 || readClock() > until) {
				return lagging;
			}

			await waitFor(stepMs);
		}
		/* eslint-enable no-await-in-loop */
	}

	async close(): Promise<void> {
		await this.#lifeCycle.stop();
	}

	/** Every live process of the host list, and every entry that was asked. */
	async #listProcesses(): Promise<ProcessOffset[]> {
		const [listed, ...dumps] = await Promise.all([
			this.platform.listHosts(),
			...this.options.operators.map(async (address) => readDump(address)),
		]);
		const told = new Map<string, LogOffset>();
		const asked: ProcessOffset[] = [];
		for (const [index, dump] of dumps.entries()) {
			if (dump === undefined) {
				const host = this.options.operators[index] ?? '';
				asked.push({host, next: undefined});
				continue;
			}

			for (const [host, next] of Object.entries(dump.tablePeers)) {
				told.set(host, Math.max(next, told.get(host) ?? 0) as LogOffset);
			}

			told.set(dump.host, dump.tableOffset);
			asked.push({host: dump.host, next: dump.tableOffset});
		}

		const live = listed.isOk()
			? listed.value.filter(({state}) => state === 'live')
			: [{host: 'platform host list'}];
		return [
			...asked,
			...live
				.filter(({host}) => asked.every((each) => each.host !== host))
				.map(({host}) => ({host, next: told.get(host)})),
		];
	}
}

async function readDump(
	address: string,
): Promise<z.infer<typeof dumpSchema> | undefined> {
	const answer = await sendHttp({
		method: 'GET',
		url: `http://${address}/dump`,
		timeoutMs: dumpTimeoutMs,
	});
	const parsed = dumpSchema.safeParse(
		answer.isOk() ? parseJson(answer.value.body.toString()) : undefined,
	);
	return parsed.data;
}
