/** The body of an answer to a request, and how it is sent: 800 bytes within 85 ms. */
export const pieceBytes = 200;
export const pieceMs = 21;
const bodyBytes = 800;

export const buildUnframedBody = (requestId) =>
	`${requestId} `.repeat(bodyBytes).slice(0, bodyBytes);
