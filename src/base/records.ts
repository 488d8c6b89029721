/*---------------------------------------------------------------------------------------------
 *  Copyright (c) Shelffield contributors. Licensed under the MIT License.
 *--------------------------------------------------------------------------------------------*/

/** Records whose keys are names that come from outside, as they are sent between processes. */

/** A name that messages can't have as a key. */
const UNUSABLE_KEY = '__proto__';

/** Whether a name from outside can be the key of a record. */
export function isUsableKey(name: string): boolean {
	return name !== UNUSABLE_KEY;
}

/** The value of a key; undefined if the record itself has none, whatever it inherits. */
export function ownValue<T>(record: Readonly<Record<string, T>>, key: string): T | undefined {
	return Object.hasOwn(record, key) ? record[key] : undefined;
}
