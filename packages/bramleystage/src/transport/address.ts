/** Parses and formats the address of a listener, `host:port`. */
import type {AddressInfo} from 'node:net';
import {checkInvariant} from '../protocol/invariant.js';

export type Address = {readonly host: string; readonly port: number};

/** Parses `host:port`; an IPv6 host is in brackets. */
export function parseAddress(address: string): Address {
	const colon = address.lastIndexOf(':');
	const host = address.slice(0, colon).replaceAll(/[\[\]]/gv, '');
	return {host, port: Number(address.slice(colon + 1))};
}

/**
 * Formats the address that a server is bound to; Node returns null before it
 * listens.
 */
export function formatAddress(address: AddressInfo | string | null): string {
	checkInvariant(
		address !== null && typeof address !== 'string',
		'missingListenerAddress',
	);
	return address.family === 'IPv6'
		? `[${address.address}]:${address.port}`
		: `${address.address}:${address.port}`;
}
