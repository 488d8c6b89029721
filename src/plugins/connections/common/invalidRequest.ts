/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Responses to bytes that are no valid request, which the HTTP server has no response object for. */

const HEADER_OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';

/** Status code and reason. */
export enum InvalidRequestStatus {
	BadRequest = '400 Bad Request',
	HeadersTooLate = '408 Request Timeout',
	HeadersTooLarge = '431 Request Header Fields Too Large'
}

/** The status for an error of the parser of Node.js. */
export function statusOfParserError({ code }: NodeJS.ErrnoException): InvalidRequestStatus {
	return code === HEADER_OVERFLOW_CODE ? InvalidRequestStatus.HeadersTooLarge : InvalidRequestStatus.BadRequest;
}

/** The whole response, after which the connection is to be closed. */
export function formatInvalidRequest(status: InvalidRequestStatus): string {
	return `HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
