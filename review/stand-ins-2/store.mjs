/**
 * Stand-in for the platform's metadata store: keyed topics with reads, long polls
 * and the newest records, and groups. The parent process controls it over the IPC
 * channel: `{append: {topic, key, value}}`, `{outage: 'silent' | 'reset' | 'busy' | null}`.
 */
/* eslint-disable camelcase -- The platform's fields are written as its pages spell them. */
import http from 'node:http';
import process from 'node:process';

const heartbeatMs = 1200;
const serversTopic = 'keyed.servers';

const topics = new Map();
const heardAt = new Map();
const waiters = new Set();
const members = new Map();
let generation = 0;
let outage = null;

const openTopic = (name) => {
	if (!topics.has(name)) {
		topics.set(name, []);
	}

	return topics.get(name);
};

const encodeRecord = ({key, value}) => {
	const keyBytes = Buffer.from(key);
	const content = Buffer.concat([
		Buffer.from([keyBytes.length]),
		keyBytes,
		Buffer.from(value ?? ''),
	]);
	const length = Buffer.alloc(4);
	length.writeUInt32BE(content.length);
	return Buffer.concat([length, content]);
};

function decodeRecords(body) {
	const records = [];
	for (let at = 0; at < body.length;) {
		const end = at + 4 + body.readUInt32BE(at);
		const keyEnd = at + 5 + body[at + 4];
		records.push({
			key: body.toString('utf8', at + 5, keyEnd),
			value: keyEnd < end ? body.toString('utf8', keyEnd, end) : undefined,
		});
		at = end;
	}

	return records;
}

function append(topic, records) {
	const log = openTopic(topic);
	const offset = log.length;
	log.push(...records);
	if (topic === serversTopic) {
		for (const {key, value} of records) {
			if (value === undefined) {
				heardAt.delete(key);
			} else {
				heardAt.set(key, Date.now());
			}
		}
	}

	for (const wake of new Set(waiters)) {
		wake(topic);
	}

	return {offset, end_offset: log.length};
}

// An entry is removed after three heartbeat intervals of silence.
setInterval(() => {
	for (const [key, at] of heardAt) {
		if (!outage && Date.now() - at > 3 * heartbeatMs) {
			append(serversTopic, [{key}]);
		}
	}
}, 100);

async function readBody(request) {
	const chunks = [];
	for await (const chunk of request) {
		chunks.push(chunk);
	}

	return Buffer.concat(chunks);
}

const sendJson = (response, value) => {
	response.writeHead(200, {'content-type': 'application/json'});
	response.end(JSON.stringify(value));
};

async function serveRead(response, query) {
	const topic = query.get('topic');
	const from = Number(query.get('source'));
	const log = openTopic(topic);
	if (from > log.length) {
		response.writeHead(410).end('{"first":0}');
		return;
	}

	if (from === log.length) {
		await new Promise((resolve) => {
			const finish = () => {
				clearTimeout(timer);
				waiters.delete(wake);
				resolve();
			};

			const wake = (changed) => {
				if (changed === topic) {
					finish();
				}
			};

			const timer = setTimeout(finish, Number(query.get('wait_ms') ?? 0));
			waiters.add(wake);
		});
	}

	const offsets = Buffer.alloc(16);
	offsets.writeBigUInt64BE(BigInt(log.length), 0);
	response
		.writeHead(200)
		.end(
			Buffer.concat([offsets, ...log.slice(from).map((r) => encodeRecord(r))]),
		);
}

function serveNewest(response, query) {
	const log = openTopic(query.get('topic'));
	const newest = new Map(
		log.map((record, offset) => [record.key, {...record, offset}]),
	);
	sendJson(response, {
		entries: [...newest.values()]
			.filter(({value}) => value !== undefined)
			.map(({key, value, offset}) => ({
				key,
				value: Buffer.from(value).toString('base64'),
				offset,
			})),
		has_more: false,
		end_offset: log.length,
	});
}

function removeSilentMembers() {
	for (const [member, {at, ttlMs}] of members) {
		if (Date.now() - at > ttlMs) {
			members.delete(member);
			generation++;
		}
	}
}

async function serve(request, response) {
	const {pathname, searchParams} = new URL(request.url, 'http://store');
	const body = await readBody(request);
	removeSilentMembers();
	switch (pathname) {
		case '/log-append': {
			sendJson(
				response,
				append(searchParams.get('topic'), decodeRecords(body)),
			);
			break;
		}

		case '/log-read': {
			await serveRead(response, searchParams);
			break;
		}

		case '/log-newest': {
			serveNewest(response, searchParams);
			break;
		}

		case '/log-join': {
			const {member, topics: joined, ttl_ms: ttlMs} = JSON.parse(body);
			if (!members.has(member)) {
				generation++;
			}

			const part = members.get(member)?.part ?? members.size;
			members.set(member, {at: Date.now(), ttlMs, part, topic: joined[0]});
			sendJson(response, {generation, parts: [[joined[0], part, 0]]});
			break;
		}

		case '/log-leave': {
			generation += members.delete(JSON.parse(body).member) ? 1 : 0;
			sendJson(response, {});
			break;
		}

		case '/log-owners': {
			sendJson(
				response,
				[...members].map(([member, {topic, part}]) => [topic, part, member, 0]),
			);
			break;
		}

		default: {
			response.writeHead(404).end();
		}
	}
}

const server = http.createServer((request, response) => {
	if (outage === 'reset') {
		request.socket.resetAndDestroy();
	} else if (outage === 'busy') {
		response.writeHead(503).end();
	} else if (outage !== 'silent') {
		serve(request, response);
	}
});
process.on('message', (message) => {
	if (message.append) {
		const {topic, key, value} = message.append;
		append(topic, [{key, value: value && JSON.stringify(value)}]);
	}

	if ('outage' in message) {
		outage = message.outage;
	}
});
process.on('disconnect', () => {
	process.exit(0);
});
server.listen(0, '127.0.0.1', () => {
	process.send({address: `127.0.0.1:${server.address().port}`});
});
