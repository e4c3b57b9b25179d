import {expect, test} from 'vitest';
import {
	toDataCentreId,
	toHostId,
	toIncarnation,
	toLogOffset,
} from '../../protocol/ids.js';
import {
	createTableContact,
	createTableReport,
	isTableStale,
	recordLogRead,
	recordPeerReport,
	staleAfterMs,
	type TableContact,
} from '../table-contact.js';

const centres = ['izmir-a', 'izmir-b', 'manisa-c'].map((id) =>
	toDataCentreId(id),
);
const self = {next: toLogOffset(5), dataCentre: toDataCentreId('izmir-a')};
const peers = centres.map((dataCentre, index) => ({
	host: toHostId(`host-${index}`),
	incarnation: toIncarnation('1'),
	dataCentre,
}));

const hear = (
	contact: TableContact,
	index: number,
	report: {next?: number; echo?: number; ageMs?: number},
	now: number,
) =>
	recordPeerReport(
		contact,
		peers[index] ?? peers[0]!,
		{next: toLogOffset(report.next ?? 5), sentAt: 1, ...report} as never,
		{next: self.next, now},
	);

const heardFromAll = () => {
	let contact = recordLogRead(createTableContact(), 0);
	for (const index of peers.keys()) {
		contact = hear(contact, index, {echo: 100}, 200);
	}

	return contact;
};

test('a process without any table takes no work', () => {
	const empty = {...self, next: toLogOffset(0)};
	expect(isTableStale(createTableContact(), empty, 0)).toBe(true);
});

test('a paused process takes no work though reports lay in its buffers', () => {
	let contact = heardFromAll();
	const now = 60_000;
	contact = hear(contact, 0, {echo: 150, ageMs: 0}, now);
	contact = hear(contact, 1, {echo: 150, ageMs: 0}, now);
	expect(isTableStale(contact, self, now)).toBe(true);
	contact = hear(contact, 0, {echo: now, ageMs: 50}, now + 10);
	expect(isTableStale(contact, self, now + 10)).toBe(false);
});

test('a process that is cut off from log and peers stops at the bound', () => {
	const contact = recordLogRead(createTableContact(), 1000);
	expect(isTableStale(contact, self, 1000 + staleAfterMs)).toBe(false);
	expect(isTableStale(contact, self, 1001 + staleAfterMs)).toBe(true);
});

test('when the log is out for everyone all go on', () => {
	const now = 10_000;
	let contact = heardFromAll();
	for (const index of peers.keys()) {
		contact = hear(contact, index, {echo: now - 100, ageMs: 9000}, now);
	}

	expect(isTableStale(contact, self, now)).toBe(false);
});

test('a data centre that hears only itself stops', () => {
	const now = 10_000;
	const contact = hear(heardFromAll(), 0, {echo: now - 100}, now);
	expect(isTableStale(contact, self, now)).toBe(true);
});

test('one lost data centre of three does not stop the others', () => {
	const now = 10_000;
	let contact = hear(heardFromAll(), 0, {echo: now - 100}, now);
	contact = hear(contact, 1, {echo: now - 100}, now);
	expect(isTableStale(contact, self, now)).toBe(false);
});

test('a process that lacks records which a peer has stops at the bound', () => {
	const now = 10_000;
	let contact = heardFromAll();
	for (const index of peers.keys()) {
		contact = hear(contact, index, {next: 6, echo: now - 100, ageMs: 0}, now);
	}

	expect(isTableStale(contact, self, now)).toBe(true);
});

test('a report echoes the peer only within its incarnation', () => {
	const contact = hear(createTableContact(), 0, {}, 10);
	const [peer] = peers;
	const replaced = {...peer!, incarnation: toIncarnation('2')};
	expect(createTableReport(contact, self.next, peer!, 20).echo).toBe(1);
	expect(createTableReport(contact, self.next, replaced, 20).echo).toBe(
		undefined,
	);
});
