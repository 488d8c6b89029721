/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Encoding of messages between processes: MessagePack, with larger messages deflated. Lists of instances and targets repeat
 * their field names and compress well, which saves metered traffic between data halls.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decode, encode } from '@msgpack/msgpack';

/** Maximum size of a received message, both before and after inflating. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/** Smaller messages are not deflated: they fit in one packet anyway. */
const MIN_DEFLATED_BYTES = 1024;
/** A small window saves memory and is sufficient, since field names repeat within a few hundred bytes. */
const DEFLATE_OPTIONS = { level: 3, windowBits: 12, memLevel: 6 };

/** Value of `Content-Encoding` for a deflated body. */
export const DEFLATE_ENCODING = 'deflate';

/** An encoded message with the headers that describe its encoding. */
export interface EncodedMessage {
	readonly body: Buffer;
	/** `Content-Length`, and `Content-Encoding` if the body is deflated. */
	readonly headers: Readonly<Record<string, string>>;
}

/** Encodes a message; fields with the value `undefined` are omitted. */
export function encodeMessage(message: unknown): EncodedMessage {
	const bytes = encode(message, { ignoreUndefined: true });
	const plain = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const isDeflated = plain.length >= MIN_DEFLATED_BYTES;
	const body = isDeflated ? deflateRawSync(plain, DEFLATE_OPTIONS) : plain;
	const lengthHeader = { 'Content-Length': String(body.length) };
	return { body, headers: isDeflated ? { ...lengthHeader, 'Content-Encoding': DEFLATE_ENCODING } : lengthHeader };
}

/**
 * Decodes a message.
 * @param contentEncoding value of the `Content-Encoding` header
 * @throws Error the body is malformed, or larger than {@link MAX_MESSAGE_BYTES} when inflated
 */
export function decodeMessage(body: Buffer, contentEncoding: string | undefined): unknown {
	const isDeflated = contentEncoding === DEFLATE_ENCODING;
	return decode(isDeflated ? inflateRawSync(body, { maxOutputLength: MAX_MESSAGE_BYTES }) : body);
}
