/**
 * Authentication of callers. The table holds only the SHA-256 digests of bearer
 * keys.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createFailure,
	type CustomerId,
	type Failure,
	type TableView,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';

/** Computes the digest of a key that the table holds: SHA-256 in hex. */
export const computeKeyDigest = (key: string) =>
	createHash('sha256').update(key).digest('hex');

/** Finds the customer of an `Authorization` header. */
export function findCustomer(
	header: string | undefined,
	{customerOfKey, customers}: TableView,
): Result<CustomerId, Failure> {
	const key = /^Bearer (?<key>\S+)$/iv.exec(header ?? '')?.groups?.key;
	if (key === undefined) {
		return err(
			createFailure(
				'unauthorized',
				'An Authorization header with a bearer key is required.',
			),
		);
	}

	const digest = computeKeyDigest(key);
	const customer = customerOfKey.get(digest);
	const stored = customer && customers.get(customer)?.key_sha256;
	const isEqual =
		stored !== undefined &&
		timingSafeEqual(Buffer.from(stored), Buffer.from(digest));
	return customer && isEqual
		? ok(customer)
		: err(createFailure('unauthorized', 'The bearer key is unknown.'));
}
