/** Addresses of listeners, written `host:port`. */
import type {AddressInfo} from 'node:net';
import {checkInvariant} from '../protocol/invariant.js';

export type Address = {readonly host: string; readonly port: number};

/** Splits `host:port`; the host may be an IPv6 number in brackets. */
export function parseAddress(address: string): Address {
	const colon = address.lastIndexOf(':');
	const host = address.slice(0, colon).replaceAll(/[\[\]]/gv, '');
	return {host, port: Number(address.slice(colon + 1))};
}

/** Formats the address that a listener got; Node gives null before it listens. */
export function formatAddress(address: AddressInfo | string | null): string {
	checkInvariant(
		address !== null && typeof address !== 'string',
		'missingListenerAddress',
	);
	return address.family === 'IPv6'
		? `[${address.address}]:${address.port}`
		: `${address.address}:${address.port}`;
}
