/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Typed declarations of the methods that processes call on each other; each plug-in declares its own. */

/** A method with one request message and one response message. */
export interface UnaryMethod<Request, Response> {
	readonly path: string;
	readonly _request?: Request;
	readonly _response?: Response;
}

/** A bidirectional streaming method. */
export interface StreamMethod<Request, Response> {
	readonly path: string;
	readonly _request?: Request;
	readonly _response?: Response;
	readonly _isStream?: true;
}

/** Declares a unary method of a plug-in. */
export function defineUnary<Request, Response>(feature: string, name: string): UnaryMethod<Request, Response> {
	return { path: `/shelffield.${feature}/${name}` };
}

/** Declares a bidirectional streaming method of a plug-in. */
export function defineStream<Request, Response>(feature: string, name: string): StreamMethod<Request, Response> {
	return { path: `/shelffield.${feature}/${name}` };
}
