/** Crash evidence on its way between gateways. */
import {LifeCycle, toInstanceKey, toRequestTrait} from 'bramleystage';
import {afterEach, beforeEach, expect, test} from 'vitest';
import {crashNewsSchema} from '../crash-exchange.js';
import {CrashLedger} from '../crash-ledger.js';

const logger = {
	error: () => undefined,
	warn: () => undefined,
	info: () => undefined,
	debug: () => undefined,
};
const longest = 'x'.repeat(200);
const guilty = toRequestTrait(`${longest} part ${'y'.repeat(64)}`);

let lifeCycle: LifeCycle;

beforeEach(() => {
	lifeCycle = new LifeCycle();
});

afterEach(async () => {
	await lifeCycle.stop();
});

const createLedger = (self: string, isGroupKnown = true) =>
	new CrashLedger({
		isGroupKnown: () => isGroupKnown,
		listMembers: () => ['a', 'b'],
		self,
		lifeCycle,
		logger,
		readClock: () => 10_000,
	});

const recordCrash = (ledger: CrashLedger, name: string, endedAt: number) => {
	ledger.recordCrash({
		instance: toInstanceKey(`${longest}${name}@1790000000000`),
		endedAt,
		citedAt: endedAt,
		isBegun: true,
		suspects: new Map([
			[guilty, {witnesses: [`request-${name}`], sentAt: endedAt - 50}],
		]),
	});
};

const own = toRequestTrait('own');
const traits = {shared: [guilty], forms: [own], own};

// Guards against news that a peer rejects, with all else that the same message tells, as a name in it is long.
test('evidence with the longest names passes the check of the other side', () => {
	const ledger = createLedger('a');
	recordCrash(ledger, '1', 8000);
	const {news} = ledger.buildNews(0, 10_000);
	expect(crashNewsSchema.safeParse(news).success).toBe(true);
});

test('a ledger that gets the parts of two others blames what neither of them could', () => {
	const [one, two, joined] = ['a', 'b', 'c'].map((self) => createLedger(self));
	for (const [index, name] of ['1', '2', '3', '4'].entries()) {
		const ledger = index % 2 === 0 ? one : two;
		if (ledger) {
			recordCrash(ledger, name, 5000 + 400 * index);
		}
	}

	expect(one?.findBlame(traits)).toBeUndefined();
	expect(two?.findBlame(traits)).toBeUndefined();
	for (const ledger of [one, two, one]) {
		const {news} = ledger?.buildNews(0, 10_000) ?? {};
		if (news) {
			joined?.acceptNews(news, {writtenAfter: 10_000, arrivedAt: 10_000});
		}
	}

	expect(joined?.findBlame(traits)?.trait).toBe(guilty);
});

test('a ledger sends each piece of evidence once, and all of it to a new peer', () => {
	const ledger = createLedger('a');
	recordCrash(ledger, '1', 5000);
	const first = ledger.buildNews(0, 10_000);
	expect(first.news?.crashes).toHaveLength(1);
	expect(ledger.buildNews(first.revision, 10_000).news).toBeUndefined();
	recordCrash(ledger, '2', 6000);
	expect(ledger.buildNews(first.revision, 10_000).news?.crashes).toHaveLength(
		1,
	);
	expect(ledger.buildNews(0, 10_000).news?.crashes).toHaveLength(2);
});

// Guards against a sound answer that seems to be later than a crash, as its message was under way for long.
test('a sound answer from before a crash does not clear it, however late it arrives', () => {
	const [one, two] = ['a', 'b'].map((self) => createLedger(self));
	if (!one || !two) {
		throw new Error('No ledgers.');
	}

	recordCrash(two, '0', 8000);
	two.recordSound(traits, 9150);
	const {news} = two.buildNews(0, 9160);
	for (const name of ['1', '2', '3']) {
		recordCrash(one, name, 9120 + 80 * Number(name));
	}

	if (news) {
		one.acceptNews(news, {writtenAfter: 9160, arrivedAt: 9410});
	}

	expect(one.isKnownSound(guilty)).toBe(true);
	// Three crashes speak against the part, so a request with it is not repeated.
	expect(one.computeAllowedEnds(traits)).toBe(1);
});

// Guards against a crash that seems to be earlier than a sound answer, for the same reason.
test('a crash counts although a sound answer came while its message was under way', () => {
	const [one, two] = ['a', 'b'].map((self) => createLedger(self));
	if (!one || !two) {
		throw new Error('No ledgers.');
	}

	recordCrash(two, '1', 9000);
	recordCrash(two, '2', 9080);
	const {news} = two.buildNews(0, 9090);
	one.recordSound(traits, 8995);
	if (news) {
		one.acceptNews(news, {writtenAfter: 8980, arrivedAt: 9130});
	}

	expect(one.computeAllowedEnds(traits)).toBe(1);
});

// Guards against callers who fill the memory with parts that no other request has.
test('sound answers are remembered of a bounded number of parts', () => {
	const ledger = createLedger('a');
	for (let request = 0; request < 3000; request++) {
		ledger.recordSound(
			{
				shared: Array.from({length: 12}, (_, part) =>
					toRequestTrait(`part ${request}-${part}`),
				),
				forms: [toRequestTrait(`own ${request}`)],
				own: toRequestTrait(`own ${request}`),
			},
			request,
		);
	}

	expect(ledger.soundCount).toBe(8192);
	expect(ledger.isKnownSound(toRequestTrait('part 2999-11'))).toBe(true);
	expect(ledger.isKnownSound(toRequestTrait('part 0-0'))).toBe(false);
});

test('a sound answer that only one gateway remembers clears what another one reports', () => {
	const [one, two] = ['a', 'b'].map((self) => createLedger(self));
	two?.recordSound(traits, 9000);
	for (const name of ['1', '2', '3', '4', '5']) {
		if (one) {
			recordCrash(one, name, 5000 + Number(name));
		}
	}

	expect(one?.findBlame(traits)?.trait).toBe(guilty);
	const {news} = one?.buildNews(0, 10_000) ?? {};
	if (news) {
		two?.acceptNews(news, {writtenAfter: 10_000, arrivedAt: 10_000});
	}

	expect(two?.findBlame(traits)).toBeUndefined();
	const answer = two?.buildNews(0, 10_000).news;
	if (answer) {
		one?.acceptNews(answer, {writtenAfter: 10_000, arrivedAt: 10_000});
	}

	expect(one?.findBlame(traits)).toBeUndefined();
});

// Guards against a started gateway that probes in the turn of one that it has not heard of.
test('a gateway that may not know all others lets no request through as a probe', () => {
	const countProbes = (isGroupKnown: boolean) => {
		const ledger = createLedger('a', isGroupKnown);
		for (const [index, name] of ['1', '2', '3', '4'].entries()) {
			recordCrash(ledger, name, 5000 + 400 * index);
		}

		const blame = ledger.findBlame(traits);
		const seconds = Array.from({length: 60}, (_, second) => second);
		return seconds.filter(
			(second) => blame && ledger.tryProbe(blame, 10_000 + 1000 * second),
		).length;
	};

	expect(countProbes(false)).toBe(0);
	expect(countProbes(true)).toBeGreaterThan(0);
});
