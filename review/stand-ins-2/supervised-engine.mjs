/**
 * An engine under a supervisor that holds the listening socket, as socket activation and
 * pre-forking servers do: it passes each connection on to the engine's process, and starts
 * the next process when one ends. The parent process sends `{crash: true}` to have the
 * engine killed.
 */
import {fork} from 'node:child_process';
import net from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const program = path.join(
	path.dirname(fileURLToPath(import.meta.url)),
	'engine.mjs',
);
const settings = JSON.parse(process.argv[2]);

let worker;
let isStarted = false;
let hasAddress = false;
/** Connections that wait for the next process. */
let waiting = [];

const pass = (socket) => {
	worker.send('connection', socket);
};

function startWorker() {
	isStarted = false;
	worker = fork(program, [JSON.stringify(settings)]);
	worker.on('message', (message) => {
		if (!message.address) {
			process.send(message);
			return;
		}

		isStarted = true;
		for (const socket of waiting) {
			pass(socket);
		}

		waiting = [];
		if (!hasAddress) {
			hasAddress = true;
			process.send(message);
		}
	});
	worker.on('exit', startWorker);
}

const server = net.createServer({pauseOnConnect: true}, (socket) => {
	socket.on('error', () => undefined);
	if (isStarted) {
		pass(socket);
	} else {
		waiting.push(socket);
	}
});
server.listen(settings.port ?? 0, '127.0.0.1', () => {
	settings.passedAddress = `127.0.0.1:${server.address().port}`;
	startWorker();
});
process.on('message', (message) => {
	if (message.crash) {
		isStarted = false;
		worker.kill('SIGKILL');
	} else {
		worker.send(message);
	}
});
process.on('disconnect', () => {
	worker.off('exit', startWorker);
	worker.kill('SIGKILL');
	process.exit(0);
});
