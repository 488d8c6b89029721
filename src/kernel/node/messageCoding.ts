/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/**
 * Messages between processes as bytes: MessagePack, and deflated where that pays. Lists of instances and targets repeat
 * the names of their fields, and what crosses data halls is paid by the byte.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { decode, encode } from '@msgpack/msgpack';

/** Largest message that is read, in bytes, deflated or not. */
export const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/** Messages below this are sent as they are: at one packet there is little to gain. */
const LEAST_DEFLATED_BYTES = 1024;
/** A small window and little memory: fields repeat within a few hundred bytes, and machines are small. */
const DEFLATE_OPTIONS = { level: 3, windowBits: 12, memLevel: 6 };

/** Value of `Content-Encoding` for a deflated body. */
export const DEFLATED = 'deflate';

/** A message ready to be sent. */
export interface EncodedMessage {
	readonly body: Buffer;
	/** Headers that say how to read the body. */
	readonly headers: Readonly<Record<string, string>>;
}

/** Encodes a message; fields that are undefined are left out. */
export function encodeMessage(message: unknown): EncodedMessage {
	const bytes = encode(message, { ignoreUndefined: true });
	const plain = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	const isDeflated = plain.length >= LEAST_DEFLATED_BYTES;
	const body = isDeflated ? deflateRawSync(plain, DEFLATE_OPTIONS) : plain;
	const length = { 'Content-Length': String(body.length) };
	return { body, headers: isDeflated ? { ...length, 'Content-Encoding': DEFLATED } : length };
}

/**
 * Decodes a message.
 * @param contentEncoding value of the header of that name
 * @throws Error the bytes are no message, or one that is too large
 */
export function decodeMessage(body: Buffer, contentEncoding: string | undefined): unknown {
	const isDeflated = contentEncoding === DEFLATED;
	return decode(isDeflated ? inflateRawSync(body, { maxOutputLength: MAX_MESSAGE_BYTES }) : body);
}
