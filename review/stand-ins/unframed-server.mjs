/* eslint-disable no-await-in-loop -- Pieces of an answer follow each other. */
/**
 * A plain server as a process of its own, whose answers have no length and end with
 * their connection. It is started with its id, and prints its address and each
 * request that it begins to work on.
 */
import http from 'node:http';
import process from 'node:process';
import {setTimeout as delay} from 'node:timers/promises';
import {buildUnframedBody, pieceBytes, pieceMs} from './unframed-body.mjs';

const id = process.argv[2];

const server = http.createServer(async (request, response) => {
	request.resume();
	const requestId = request.headers['x-bramleystage-request-id'];
	if (request.headers['x-bramleystage-expect-instance'] !== id) {
		response.writeHead(421, {'x-bramleystage-not-executed': '1'}).end();
		return;
	}

	process.stdout.write(`runs ${requestId}\n`);
	response.useChunkedEncodingByDefault = false;
	response.writeHead(200, {
		'content-type': 'text/plain',
		'x-bramleystage-request-id': requestId,
		'x-bramleystage-response-stamp': `stamp.${id}`,
	});
	const body = buildUnframedBody(requestId);
	for (let sent = 0; sent < body.length; sent += pieceBytes) {
		response.write(body.slice(sent, sent + pieceBytes));
		await delay(pieceMs);
	}

	response.end();
});
server.listen(0, '127.0.0.1', () => {
	process.stdout.write(`listens 127.0.0.1:${server.address().port}\n`);
});
