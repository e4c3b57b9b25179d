/**
 * The compressed form of a configuration between gateways: a frame, deflated. It
 * is made once for each configuration, however many gateways ask for it.
 */
import {promisify} from 'node:util';
import {deflate, inflate} from 'node:zlib';
import {
	createFailure,
	decodeFrameBody,
	encodeValueFrame,
	type Failure,
	FrameSplitter,
	maxFrameBytes,
	type RoutingConfiguration,
} from 'bramleystage';
import {err, ResultAsync} from 'neverthrow';

/** Level of the compression, 1 to 9; the lowest one already finds the keys that repeat. */
const level = 1;

const describeError = (error: unknown): Failure =>
	createFailure(
		'badFrame',
		error instanceof Error ? error.message : String(error),
	);

const runDeflate = promisify(deflate) as (
	bytes: Uint8Array,
	options: {level: number},
) => Promise<Buffer>;
const runInflate = promisify(inflate) as (
	bytes: Uint8Array,
	options: {maxOutputLength: number},
) => Promise<Buffer>;

export class ConfigurationEncoder {
	/** Forms that were made, for as long as their configurations are in use. */
	readonly #encoded = new WeakMap<
		RoutingConfiguration,
		ResultAsync<Buffer, Failure>
	>();

	/** Encodes a configuration, or gives the form that was made before. */
	encode(configuration: RoutingConfiguration): ResultAsync<Buffer, Failure> {
		const known = this.#encoded.get(configuration);
		if (known) {
			return known;
		}

		const encoded = ResultAsync.fromPromise(
			runDeflate(encodeValueFrame(configuration), {level}),
			describeError,
		);
		this.#encoded.set(configuration, encoded);
		return encoded;
	}
}

/** Decodes a compressed value; one that is larger than a frame may be fails without being held. */
export function decodeCompressed(
	bytes: Uint8Array,
): ResultAsync<unknown, Failure> {
	const splitter = new FrameSplitter();
	return ResultAsync.fromPromise(
		runInflate(bytes, {maxOutputLength: maxFrameBytes}),
		describeError,
	).andThen((frame) => {
		splitter.append(frame);
		return splitter
			.readNext()
			.andThen((body) =>
				body
					? decodeFrameBody(body)
					: err(createFailure('badFrame', 'A compressed frame is cut off.')),
			);
	});
}
