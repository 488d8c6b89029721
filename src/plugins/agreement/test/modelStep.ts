/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** The steps of a schedule that the model executes. */

/** A step of a schedule; `node` and `message` are taken modulo the number of replicas and of pending messages. */
export type ModelStep =
	| { readonly type: 'tick'; readonly node: number; readonly ms: number }
	| { readonly type: 'deliver'; readonly message: number; readonly copy: boolean }
	| { readonly type: 'drop'; readonly message: number }
	| { readonly type: 'propose'; readonly node: number }
	| { readonly type: 'crash'; readonly node: number; readonly beforeSync: boolean }
	| { readonly type: 'restart'; readonly node: number }
	| { readonly type: 'loseDisk'; readonly node: number }
	| { readonly type: 'freeze'; readonly node: number }
	/** The disk takes no writes until `repairDisk`. */
	| { readonly type: 'breakDisk'; readonly node: number }
	| { readonly type: 'repairDisk'; readonly node: number }
	| { readonly type: 'compact'; readonly node: number }
	| { readonly type: 'join'; readonly node: number }
	/** Messages to and from the replica are lost until `reconnect`; with `oneWay` only those to it. */
	| { readonly type: 'isolate'; readonly node: number; readonly oneWay: boolean }
	| { readonly type: 'reconnect' }
	/** Advances the time of all replicas, with ticks and delivery of messages. */
	| { readonly type: 'run'; readonly ms: number };
