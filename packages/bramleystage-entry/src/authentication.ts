/** Bearer keys to customers. The table holds only the SHA-256 of a key. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {
	createFailure,
	type CustomerId,
	type Failure,
	type TableView,
} from 'bramleystage';
import {err, ok, type Result} from 'neverthrow';

/** Digest of a key as the table holds it. */
export const computeKeyDigest = (key: string) =>
	createHash('sha256').update(key).digest('hex');

/** Finds the customer of an `Authorization` header. */
export function findCustomer(
	header: string | undefined,
	{customerOfKey, customers}: TableView,
): Result<CustomerId, Failure> {
	const key = /^Bearer (?<key>\S+)$/iv.exec(header ?? '')?.groups?.key;
	if (key === undefined) {
		return err(createFailure('unauthorized', 'A bearer key is needed.'));
	}

	const digest = computeKeyDigest(key);
	const customer = customerOfKey.get(digest);
	const stored = customer && customers.get(customer)?.key_sha256;
	const isEqual =
		stored !== undefined &&
		timingSafeEqual(Buffer.from(stored), Buffer.from(digest));
	return customer && isEqual
		? ok(customer)
		: err(createFailure('unauthorized', 'The bearer key is not known.'));
}
