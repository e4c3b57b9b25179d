/**
 * Stand-in of a plain service that makes bookings. `POST /bookings` counts its
 * executions by booking reference; `GET /bookings/<reference>` returns the
 * count, so that a test can detect a booking that ran more than once.
 */
import {parseJson, waitFor, writeJson} from 'bramleystage';
import * as z from 'zod';
import {serveStandIn, type StandIn} from './stand-in-server.js';

export type ServiceOptions = {
	readonly address: string;
	readonly name: string;
	/** Duration of a booking, in milliseconds. */
	readonly bookingMs: number;
};

const bookingSchema = z.object({reference: z.string().min(1)}).loose();

/** Starts the stand-in of a plain service. */
export async function startServiceStandIn(
	options: ServiceOptions,
): Promise<StandIn> {
	const runs = new Map<string, number>();
	return serveStandIn(
		options.address,
		async ({method, url, body, response}) => {
			if (method === 'POST' && url.pathname === '/bookings') {
				const booking = bookingSchema.safeParse(parseJson(body.toString()));
				if (!booking.success) {
					writeJson(response, 422, {error: 'A booking needs a reference.'});
					return;
				}

				const {reference} = booking.data;
				const count = (runs.get(reference) ?? 0) + 1;
				runs.set(reference, count);
				await waitFor(options.bookingMs);
				writeJson(
					response,
					201,
					{reference, runs: count, by: options.name},
					{'x-service': options.name},
				);
				return;
			}

			if (method === 'GET' && url.pathname.startsWith('/bookings/')) {
				const reference = decodeURIComponent(
					url.pathname.slice('/bookings/'.length),
				);
				writeJson(response, 200, {reference, runs: runs.get(reference) ?? 0});
				return;
			}

			if (method === 'GET' && url.pathname === '/bookings') {
				writeJson(response, 200, Object.fromEntries(runs));
				return;
			}

			writeJson(response, 404, {error: 'No such path.'});
		},
	);
}
