/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Records whose keys are names that come from outside, as they are sent between processes. */

/** A name that messages can't have as a key. */
const UNUSABLE_KEY = '__proto__';
/** Half a surrogate pair, which is no character. */
const LONE_SURROGATE = /\p{Surrogate}/u;

/** Whether a text from outside is the same once it was encoded and decoded: half a surrogate pair has no encoding. */
export function isWellFormed(text: string): boolean {
	return !LONE_SURROGATE.test(text);
}

/** Whether a name from outside can be the key of a record. */
export function isUsableKey(name: string): boolean {
	return name !== UNUSABLE_KEY && isWellFormed(name);
}

/** The value of a key; undefined if the record itself has none, whatever it inherits. */
export function ownValue<T>(record: Readonly<Record<string, T>>, key: string): T | undefined {
	return Object.hasOwn(record, key) ? record[key] : undefined;
}
