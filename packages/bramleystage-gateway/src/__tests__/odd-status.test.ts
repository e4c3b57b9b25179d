import net, {type AddressInfo} from 'node:net';
import {expect, test} from 'vitest';
import {openAttempt} from '../attempt.js';

test.each(['000', '099'])(
	'an answer of status %s, which no answer to a caller can have, fails',
	async (status) => {
		const server = net.createServer((socket) => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.end(`HTTP/1.1 ${status} None\r\ncontent-length: 2\r\n\r\nok`);
			});
		});
		await new Promise<void>((resolve) => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const {port} = server.address() as AddressInfo;
		const detail = await new Promise<string>((resolve) => {
			openAttempt(
				{
					address: `127.0.0.1:${port}`,
					method: 'GET',
					target: '/',
					headers: [['Host', 'test']],
					body: Buffer.alloc(0),
					connectTimeoutMs: 1000,
					isHeld: () => true,
					hasServerEnded: async () => false,
				},
				{
					onHead: () => undefined,
					onData: () => undefined,
					onEnd() {
						resolve('complete');
					},
					onFail(failure) {
						resolve(failure.detail);
					},
				},
			);
		});
		server.close();
		expect(detail).toContain('Status');
	},
);
