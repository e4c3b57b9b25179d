import {expect, test} from 'vitest';
import {
	toDataCentreId,
	toHostId,
	toIncarnation,
	toLogOffset,
} from '../../protocol/ids.js';
import {
	createTableFreshness,
	createTableReport,
	isTableStale,
	recordLogRead,
	recordPeerReport,
	tableStaleAfterMs,
	type TableFreshness,
} from '../table-freshness.js';

const dataCentres = ['izmir-a', 'izmir-b', 'manisa-c'].map((id) =>
	toDataCentreId(id),
);
const self = {next: toLogOffset(5), dataCentre: toDataCentreId('izmir-a')};
const peers = dataCentres.map((dataCentre, index) => ({
	host: toHostId(`host-${index}`),
	incarnation: toIncarnation('1'),
	dataCentre,
}));

const receiveReport = (
	freshness: TableFreshness,
	index: number,
	report: {next?: number; echo?: number; ageMs?: number},
	now: number,
) =>
	recordPeerReport(
		freshness,
		peers[index] ?? peers[0]!,
		{next: toLogOffset(report.next ?? 5), sentAt: 1, ...report} as never,
		{next: self.next, now},
	);

/** Creates the state after a log read and a report from every peer. */
const createReachableState = () => {
	let freshness = recordLogRead(createTableFreshness(), 0);
	for (const index of peers.keys()) {
		freshness = receiveReport(freshness, index, {echo: 100}, 200);
	}

	return freshness;
};

test('a process with an empty table accepts no work', () => {
	const empty = {...self, next: toLogOffset(0)};
	expect(isTableStale(createTableFreshness(), empty, 0)).toBe(true);
});

test('reports buffered during a pause do not prove that the table is fresh', () => {
	let freshness = createReachableState();
	const now = 60_000;
	freshness = receiveReport(freshness, 0, {echo: 150, ageMs: 0}, now);
	freshness = receiveReport(freshness, 1, {echo: 150, ageMs: 0}, now);
	expect(isTableStale(freshness, self, now)).toBe(true);
	freshness = receiveReport(freshness, 0, {echo: now, ageMs: 50}, now + 10);
	expect(isTableStale(freshness, self, now + 10)).toBe(false);
});

test('a process partitioned from the log and its peers stops accepting work at the bound', () => {
	const freshness = recordLogRead(createTableFreshness(), 1000);
	expect(isTableStale(freshness, self, 1000 + tableStaleAfterMs)).toBe(false);
	expect(isTableStale(freshness, self, 1001 + tableStaleAfterMs)).toBe(true);
});

test('all processes continue while the log is down for all of them', () => {
	const now = 10_000;
	let freshness = createReachableState();
	for (const index of peers.keys()) {
		freshness = receiveReport(
			freshness,
			index,
			{echo: now - 100, ageMs: 9000},
			now,
		);
	}

	expect(isTableStale(freshness, self, now)).toBe(false);
});

test('a process that hears only from its own data centre stops accepting work', () => {
	const now = 10_000;
	const freshness = receiveReport(
		createReachableState(),
		0,
		{echo: now - 100},
		now,
	);
	expect(isTableStale(freshness, self, now)).toBe(true);
});

test('the loss of one data centre of three does not stop the others', () => {
	const now = 10_000;
	let freshness = receiveReport(
		createReachableState(),
		0,
		{echo: now - 100},
		now,
	);
	freshness = receiveReport(freshness, 1, {echo: now - 100}, now);
	expect(isTableStale(freshness, self, now)).toBe(false);
});

test('a process whose peers have more records stops accepting work at the bound', () => {
	const now = 10_000;
	let freshness = createReachableState();
	for (const index of peers.keys()) {
		freshness = receiveReport(
			freshness,
			index,
			{next: 6, echo: now - 100, ageMs: 0},
			now,
		);
	}

	expect(isTableStale(freshness, self, now)).toBe(true);
});

test('a report echoes the timestamp only of the same incarnation of the peer', () => {
	const freshness = receiveReport(createTableFreshness(), 0, {}, 10);
	const [peer] = peers;
	const replaced = {...peer!, incarnation: toIncarnation('2')};
	expect(createTableReport(freshness, self.next, peer!, 20).echo).toBe(1);
	expect(createTableReport(freshness, self.next, replaced, 20).echo).toBe(
		undefined,
	);
});
