/** Opens connections to other gateways. */
import {connect, type Socket} from 'node:net';
import {parseAddress} from 'bramleystage';

/** Opens a connection to a gateway at `host:port`; `signal` closes it. */
export type OpenPeerSocket = (address: string, signal?: AbortSignal) => Socket;

export const openPeerSocket: OpenPeerSocket = (address, signal) =>
	connect({...parseAddress(address), noDelay: true, signal});
