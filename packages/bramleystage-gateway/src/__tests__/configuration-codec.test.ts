/** Load pattern: a fleet of gateways asks a few others for one large configuration. */
import {deflateSync} from 'node:zlib';
import {encodeValueFrame, maxFrameBytes} from 'bramleystage';
import {expect, test} from 'vitest';
import {
	ConfigurationEncoder,
	decodeCompressed,
} from '../configuration-codec.js';
import {buildConfiguration} from './slow-peer.js';

// Guards against a configuration that differs at the receiver, such as in its maps.
test('a configuration is the same after compression', async () => {
	const configuration = buildConfiguration(7, 200);
	const encoded = await new ConfigurationEncoder().encode(configuration);
	const decoded = await decodeCompressed(encoded._unsafeUnwrap());
	expect(decoded._unsafeUnwrap()).toEqual(configuration);
});

// Guards against a slow link that carries what repeats in each route.
test('4,250 routes of random names take less than a quarter of their plain size', async () => {
	const configuration = buildConfiguration(7, 4250);
	const encoded = await new ConfigurationEncoder().encode(configuration);
	expect(encoded._unsafeUnwrap().length).toBeLessThan(
		encodeValueFrame(configuration).length / 4,
	);
});

// Guards against an encoding for each of the gateways that ask, and for the last version.
test('a configuration is encoded once for all that ask, and a newer one anew', async () => {
	const encoder = new ConfigurationEncoder();
	const [older, newer] = [buildConfiguration(7, 20), buildConfiguration(8, 20)];
	const [first, second] = await Promise.all([
		encoder.encode(older),
		encoder.encode(older),
	]);
	expect(second._unsafeUnwrap()).toBe(first._unsafeUnwrap());
	const encoded = await encoder.encode(newer);
	const decoded = await decodeCompressed(encoded._unsafeUnwrap());
	expect(decoded._unsafeUnwrap()).toEqual(newer);
});

// Guards against a bad peer that fills the memory with few bytes.
test('what would be larger than a frame is not inflated', async () => {
	const bytes = deflateSync(Buffer.alloc(maxFrameBytes + 1));
	expect(bytes.length).toBeLessThan(50_000);
	const decoded = await decodeCompressed(bytes);
	expect(decoded._unsafeUnwrapErr().result).toBe('badFrame');
});

// Guards against bytes of a bad peer that end the process.
test('bytes that are no compressed frame are refused', async () => {
	const frame = encodeValueFrame({version: 7});
	for (const bytes of [
		Buffer.from('none'),
		deflateSync(frame).subarray(0, 10),
		deflateSync(frame.subarray(0, -1)),
		deflateSync(Buffer.from([0, 0, 0, 1, 0xff])),
	]) {
		const decoded = await decodeCompressed(bytes);
		expect(decoded._unsafeUnwrapErr().result).toBe('badFrame');
	}
});
