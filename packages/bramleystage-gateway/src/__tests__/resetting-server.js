// Answers without a length and then resets or ends the connection, on a thread
// of its own, so that both arrive while the caller is busy.
import net from 'node:net';
import {parentPort, workerData} from 'node:worker_threads';

const server = net.createServer((socket) => {
	socket.on('error', () => undefined);
	socket.once('data', () => {
		setTimeout(() => {
			socket.write('HTTP/1.1 200 OK\r\nX-Test: yes\r\n\r\npart');
			setTimeout(() => {
				if (workerData === 'reset') {
					socket.resetAndDestroy();
				} else {
					socket.end();
				}
			}, 20);
		}, 50);
	});
});
server.listen(0, '127.0.0.1', () => {
	parentPort.postMessage(server.address().port);
});
