/**
 * A link of limited rate that several replies share. Replies that are under way
 * at the same time advance by turns, so each one takes longer.
 */
import type {ServerResponse} from 'node:http';
import {waitFor} from 'bramleystage';

/** Pieces a second in which a reply is passed on. */
const piecesPerSecond = 50;
const msPerSecond = 1000;

export class PacedLink {
	/** Steady-clock time at which the link has passed on all that was given to it. */
	#freeAt = 0;

	constructor(private readonly bytesPerSecond: number) {}

	/** Sends a JSON reply with status 200; ends early when its connection closes. */
	async sendJson(response: ServerResponse, value: unknown): Promise<void> {
		const body = Buffer.from(JSON.stringify(value));
		response.writeHead(200, {
			'content-type': 'application/json; charset=utf-8',
			'content-length': String(body.length),
		});
		const pieceBytes = Math.ceil(this.bytesPerSecond / piecesPerSecond);
		for (let sent = 0; sent < body.length; sent += pieceBytes) {
			// eslint-disable-next-line no-await-in-loop -- pieces are sent one after the other
			await this.#waitForTurn(performance.now());
			if (response.destroyed) {
				return;
			}

			response.write(body.subarray(sent, sent + pieceBytes));
		}

		response.end();
	}

	async #waitForTurn(now: number): Promise<void> {
		this.#freeAt = Math.max(now, this.#freeAt) + msPerSecond / piecesPerSecond;
		await waitFor(this.#freeAt - now);
	}
}
