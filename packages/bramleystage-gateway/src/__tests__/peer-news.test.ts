import {
	type Backend,
	toBackendId,
	toDataCentreId,
	toServiceName,
} from 'bramleystage';
import {expect, test} from 'vitest';
import {
	applyNews,
	buildNews,
	createPeerKnowledge,
	type Knowledge,
	newsSchema,
} from '../peer-news.js';

const createBackend = (id: string): Backend => ({
	id: toBackendId(id),
	service: toServiceName('desk'),
	address: '10.0.0.1:80',
	dataCentre: toDataCentreId('a'),
	isDraining: false,
	models: [],
	slots: 6,
	bornAt: 0,
});

const toMap = (...backends: Backend[]) =>
	new Map(backends.map((backend) => [backend.id, backend]));

const [one, two, three] = [
	createBackend('1'),
	createBackend('2'),
	createBackend('3'),
];
const knowledge: Knowledge = {
	version: 7,
	configurationReadAt: 4800,
	listReadAt: 4500,
	backends: toMap(one, two),
};

test('a follower has what was told, also after changes', () => {
	const beat = {beatAt: 100, arrivedAt: 5000};
	const first = newsSchema.parse(buildNews(knowledge, new Map(), beat, 5000));
	const known = applyNews(createPeerKnowledge(), first);
	expect([...known.backends.keys()]).toEqual(['1', '2']);
	expect(known.version).toBe(7);
	const leaving = {...two, isDraining: true};
	const changed = {...knowledge, backends: toMap(leaving, three)};
	const news = buildNews(changed, knowledge.backends, beat, 5100);
	expect(news.changed).toEqual([leaving, three]);
	expect(news.removed).toEqual(['1']);
	const later = applyNews(known, news);
	expect(later.backends).toEqual(toMap(leaving, three));
});

test('the ages of news count from the beat that it repeats', () => {
	const beat = {beatAt: 100, arrivedAt: 5000};
	const news = buildNews(knowledge, new Map(), beat, 5020);
	const known = applyNews(createPeerKnowledge(), news);
	// However late the news arrives, it was written 20 ms after the beat at the earliest.
	expect(known.aliveAt).toBe(120);
	expect(known.configurationReadAt).toBe(120 - 220);
	expect(known.listReadAt).toBe(120 - 520);
});

test('a gateway that was never informed tells so', () => {
	const beat = {beatAt: 100, arrivedAt: 5000};
	const blank = createPeerKnowledge();
	const news = newsSchema.parse(buildNews(blank, new Map(), beat, 5000));
	const known = applyNews(blank, news);
	expect(known.listReadAt).toBe(Number.NEGATIVE_INFINITY);
	expect(known.version).toBe(-1);
	expect(known.backAt).toBeUndefined();
});

test('a stopping gateway tells when it is back', () => {
	const beat = {beatAt: 100, arrivedAt: 5000};
	const stopping = {...knowledge, backAt: 9000};
	const news = newsSchema.parse(buildNews(stopping, new Map(), beat, 5000));
	expect(applyNews(createPeerKnowledge(), news).backAt).toBe(100 + 4000);
});
